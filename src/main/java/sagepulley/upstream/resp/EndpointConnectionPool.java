package sagepulley.upstream.resp;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.unix.UnixChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Collections;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.DoubleSupplier;
import sagepulley.codec.resp.Resp;
import sagepulley.codec.resp.RespDecoder;
import sagepulley.codec.resp.RespEncoder;
import sagepulley.codec.resp.RespLimits;
import sagepulley.model.Attempt;
import sagepulley.model.Outcome;
import sagepulley.transport.KernelReceiveTime;
import sagepulley.transport.Transport;

/**
 * The connections to the nodes: one call at a time on each, and those that are free used again.
 * Carries out and decides nothing: no call is sent twice, and each ends in one outcome. All on one
 * loop.
 */
public final class EndpointConnectionPool {
    private static final int MAX_LINE_BYTES = 512;
    private static final int REPLY_ITEMS = 3;
    private static final int MAX_OTHER_ITEMS_BYTES = 2048;

    /**
     * What comes some milliseconds late behind an answer must meet a connection that carries
     * nothing.
     */
    private static final double REUSE_DELAY_MILLIS = 25;

    /** A time that a command tells is in whole milliseconds: with less left, nothing is sent. */
    private static final double MIN_TIMEOUT_MILLIS = 1;

    private static final double NANOS_PER_MILLI = 1e6;

    /**
     * The words of a command to a node that is given so many milliseconds; null if it may not begin
     * any more.
     */
    public interface CommandSource {
        List<byte[]> arguments(double left);
    }

    /**
     * Told the end of a call, once: the answer if one could be read, else null, and when it came to
     * the machine.
     */
    public interface ResultListener {
        void onResult(Outcome outcome, Resp answer, double at);
    }

    private final Transport transport;
    private final EventLoop loop;
    private final int maxConnections;
    private final double connectTimeoutMillis;
    private final double idleTimeoutMillis;
    private final double stallTimeoutMillis;
    private final DoubleSupplier clock;
    private final RespLimits limits =
            RespLimits.replies(
                    MAX_LINE_BYTES,
                    RespLimits.MAX_VALUE_BYTES,
                    RespLimits.MAX_VALUE_BYTES + MAX_OTHER_ITEMS_BYTES,
                    REPLY_ITEMS);

    /** Free connections, the one used last first. */
    private final Map<SocketAddress, ArrayDeque<Connection>> idle = new HashMap<>();

    private final KernelReceiveTime receiveTime = new KernelReceiveTime();
    private final ByteBuffer oneByte = ByteBuffer.allocateDirect(1);
    private final IdentityHashMap<Attempt, Connection> inFlight = new IdentityHashMap<>();
    private final Map<SocketAddress, Integer> openByAddress = new HashMap<>();
    private int openConnections;
    private BiConsumer<SocketAddress, String> closeListener = (address, why) -> {};
    private long connectionsOpened;
    private long rejectedAtLimit;

    /**
     * Free connections that were found to have ended, or to have brought something, when they were
     * wanted.
     */
    private long staleConnections;

    /** Answers that were no use, by what was wrong with them. */
    private final Map<String, Integer> invalidReplies = new TreeMap<>();

    /** An answer that has begun and brings nothing more for the stall time is spoilt. */
    public EndpointConnectionPool(
            Transport transport,
            int maxConnections,
            double connectTimeoutMillis,
            double idleTimeoutMillis,
            double stallTimeoutMillis,
            DoubleSupplier clock) {
        this.transport = transport;
        this.loop = transport.eventLoops().next();
        this.maxConnections = maxConnections;
        this.connectTimeoutMillis = connectTimeoutMillis;
        this.idleTimeoutMillis = idleTimeoutMillis;
        this.stallTimeoutMillis = stallTimeoutMillis;
        this.clock = clock;
    }

    /** Told the reason of each connection's end. */
    public void onClose(BiConsumer<SocketAddress, String> listener) {
        closeListener = listener;
    }

    public int openConnections() {
        return openConnections;
    }

    /** Connections to an address, free ones and others. */
    public int openConnections(SocketAddress address) {
        return openByAddress.getOrDefault(address, 0);
    }

    /** Connections opened since the start. */
    public long connectionsOpened() {
        return connectionsOpened;
    }

    /** Attempts that found no connection since the limit was reached. */
    public long rejectedAtLimit() {
        return rejectedAtLimit;
    }

    /** Idle connections that were found closed, or with unread bytes, when they were wanted. */
    public long staleConnections() {
        return staleConnections;
    }

    /** Replies that could not be used, by what was wrong with them. */
    public Map<String, Integer> invalidReplies() {
        return Collections.unmodifiableMap(invalidReplies);
    }

    /** Attempts whose outcome is not known yet. */
    public int attemptsInFlight() {
        return inFlight.size();
    }

    /** Sends an attempt's command, and waits so many milliseconds for its answer. */
    public void send(
            Attempt attempt,
            SocketAddress address,
            CommandSource command,
            double timeoutMillis,
            ResultListener listener) {
        Connection connection =
                start(
                        address,
                        command,
                        timeoutMillis,
                        (outcome, answer, at) -> {
                            inFlight.remove(attempt);
                            listener.onResult(outcome, answer, at);
                        });
        if (connection != null) {
            inFlight.put(attempt, connection);
        }
    }

    /** Asks a node something that no client sent. */
    public void sendHealthCheck(
            SocketAddress address,
            List<byte[]> words,
            double timeoutMillis,
            ResultListener listener) {
        start(address, left -> words, timeoutMillis, listener);
    }

    /**
     * Nobody waits for this attempt any longer: its connection ends with it at once; its outcome is
     * told later.
     */
    public void cancel(Attempt attempt) {
        Connection connection = inFlight.get(attempt);
        if (connection != null) {
            connection.end(Outcome.CANCELLED);
        }
    }

    /** The same, if the node has not been sent the whole of it. */
    public void cancelUnwritten(Attempt attempt) {
        Connection connection = inFlight.get(attempt);
        if (connection != null && !connection.commandWritten) {
            connection.end(Outcome.CANCELLED);
        }
    }

    private Connection start(
            SocketAddress address,
            CommandSource command,
            double timeoutMillis,
            ResultListener listener) {
        Connection connection = takeIdle(address);
        if (connection == null && (openConnections < maxConnections || closeOldestIdle())) {
            connection = new Connection(address);
        }
        if (connection == null) {
            rejectedAtLimit++;
            loop.execute(() -> listener.onResult(Outcome.NO_CONNECTION, null, clock.getAsDouble()));
            return null;
        }
        connection.start(command, timeoutMillis, listener);
        return connection;
    }

    private Connection takeIdle(SocketAddress address) {
        ArrayDeque<Connection> idleConnections = idle.get(address);
        if (idleConnections == null) {
            return null;
        }
        double now = clock.getAsDouble();
        for (Iterator<Connection> each = idleConnections.iterator(); each.hasNext(); ) {
            Connection connection = each.next();
            if (now - connection.idleSince >= REUSE_DELAY_MILLIS) {
                each.remove();
                if (!connection.isStale()) {
                    return connection;
                }
                staleConnections++;
                connection.close("ended by the endpoint while free");
            }
        }
        return null;
    }

    private boolean closeOldestIdle() {
        Connection oldest = null;
        for (ArrayDeque<Connection> idleConnections : idle.values()) {
            Connection last = idleConnections.peekLast();
            if (last != null && (oldest == null || last.idleSince < oldest.idleSince)) {
                oldest = last;
            }
        }
        if (oldest != null) {
            oldest.close("room");
        }
        return oldest != null;
    }

    /** Closes what has been free for long, well before the machine would. */
    public void closeExpired() {
        double now = clock.getAsDouble();
        for (ArrayDeque<Connection> idleConnections : List.copyOf(idle.values())) {
            while (!idleConnections.isEmpty()
                    && now - idleConnections.peekLast().idleSince > idleTimeoutMillis) {
                idleConnections.peekLast().close("idle");
            }
        }
        idle.values().removeIf(ArrayDeque::isEmpty);
    }

    /** Closes all connections; attempts that are out are called off. */
    public void close() {
        List.copyOf(inFlight.keySet()).forEach(this::cancel);
        List.copyOf(idle.values())
                .forEach(
                        idleConnections ->
                                List.copyOf(idleConnections)
                                        .forEach(connection -> connection.close("stop")));
    }

    /** One connection. */
    private final class Connection extends ChannelInboundHandlerAdapter {
        private final SocketAddress address;
        private final RespDecoder decoder = new RespDecoder(limits);
        private Channel channel;
        private CommandSource command;
        private double deadline;
        private ResultListener listener;
        private ScheduledFuture<?> timeoutTask;
        private ScheduledFuture<?> stallTask;
        private boolean connected;
        private boolean commandWritten;
        private boolean closed;
        private double idleSince = Double.NaN;
        private double startedAt;

        Connection(SocketAddress address) {
            this.address = address;
        }

        void start(
                CommandSource commandToSend, double timeoutMillis, ResultListener resultListener) {
            command = commandToSend;
            startedAt = clock.getAsDouble();
            deadline = startedAt + timeoutMillis;
            listener = resultListener;
            commandWritten = false;
            idleSince = Double.NaN;
            timeoutTask =
                    loop.schedule(
                            this::onTimeout,
                            (long) Math.max(1, timeoutMillis * NANOS_PER_MILLI),
                            TimeUnit.NANOSECONDS);
            if (connected) {
                write();
            } else {
                connect();
            }
        }

        private void connect() {
            openConnections++;
            openByAddress.merge(address, 1, Integer::sum);
            connectionsOpened++;
            ChannelFuture connecting =
                    transport
                            .connector()
                            .option(
                                    ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                    (int) Math.max(1, connectTimeoutMillis))
                            .handler(
                                    new ChannelInitializer<Channel>() {
                                        @Override
                                        protected void initChannel(Channel fresh) {
                                            fresh.pipeline().addLast(decoder, Connection.this);
                                        }
                                    })
                            .connect(address);
            channel = Transport.channelOf(connecting);
            Transport.onConnectFailure(connecting, loop, cause -> end(Outcome.NO_CONNECTION));
        }

        /** The node is told what is left now, however long the connection took to come up. */
        private void write() {
            double remainingMillis = deadline - clock.getAsDouble();
            List<byte[]> arguments =
                    remainingMillis < MIN_TIMEOUT_MILLIS
                            ? null
                            : command.arguments(remainingMillis);
            if (arguments == null) {
                end(
                        remainingMillis < MIN_TIMEOUT_MILLIS
                                ? Outcome.NO_CONNECTION
                                : Outcome.NOT_EXECUTED);
                return;
            }
            channel.writeAndFlush(RespEncoder.command(arguments))
                    .addListener(
                            done -> {
                                if (done.isSuccess()) {
                                    commandWritten = true;
                                }
                            });
        }

        /**
         * Whether the kernel holds what has not been read here: its end, or bytes that nobody asked
         * for.
         */
        boolean isStale() {
            if (!(channel instanceof UnixChannel socket)) {
                return false;
            }
            try {
                return socket.fd().read(oneByte, 0, 1) != 0;
            } catch (IOException reset) {
                return true;
            }
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connected = true;
            if (listener != null) {
                write();
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (listener == null) {
                // More than belongs to an answer: nothing of it may meet the next call.
                close("bytes that belong to no answer");
                return;
            }
            Resp answer = (Resp) message;
            Outcome outcome = outcomeOf(answer);
            ResultListener finished = takeListener();
            // Offered again once all that came with the answer is read.
            idleSince = clock.getAsDouble();
            finished.onResult(
                    outcome,
                    answer,
                    idleSince - receiveTime.millisSinceReceived(channel, idleSince - startedAt));
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (listener != null && !closed && decoder.isMidValue()) {
                restartStallTimeout();
            }
            if (listener != null || closed || Double.isNaN(idleSince)) {
                return;
            }
            if (decoder.isMidValue()) {
                close("bytes behind an answer");
            } else if (!isIdle()) {
                idle.computeIfAbsent(address, any -> new ArrayDeque<>()).addFirst(this);
            }
        }

        /** An answer that stops inside will not go on; one that comes slowly does. */
        private void restartStallTimeout() {
            if (stallTask != null) {
                stallTask.cancel(false);
            }
            stallTask =
                    loop.schedule(
                            this::onStalled,
                            (long) (stallTimeoutMillis * NANOS_PER_MILLI),
                            TimeUnit.NANOSECONDS);
        }

        private void onStalled() {
            countInvalidResponse("stopped inside");
            end(Outcome.FAILED);
        }

        /** Whoever has begun to answer is not silent. */
        private void onTimeout() {
            if (decoder.isMidValue()) {
                onStalled();
            } else {
                end(commandWritten ? Outcome.TIMED_OUT : Outcome.NO_CONNECTION);
            }
        }

        private boolean isIdle() {
            ArrayDeque<Connection> links = idle.get(address);
            return links != null && links.contains(this);
        }

        private Outcome outcomeOf(Resp answer) {
            if (answer instanceof Resp.Array array
                    && array.items() != null
                    && array.items().size() == REPLY_ITEMS
                    && array.items().get(0) instanceof Resp.Bulk value
                    && !value.isNull()) {
                return Outcome.SERVED;
            }
            if (answer instanceof Resp.Line line && line.isError()) {
                return line.text().startsWith("BUSY") ? Outcome.REJECTED : Outcome.FAILED;
            }
            countInvalidResponse("is no answer");
            return Outcome.FAILED;
        }

        /** Counted by kind, of which there are only as many as the codec has sentences. */
        private void countInvalidResponse(String what) {
            invalidReplies.merge(what.replaceAll("[0-9]+", "N"), 1, Integer::sum);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            onConnectionLost();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof DecoderException) {
                countInvalidResponse("cannot be read: " + cause.getMessage());
                end(Outcome.FAILED);
            } else {
                onConnectionLost();
            }
        }

        /** What was not wholly written has never run. */
        private void onConnectionLost() {
            end(commandWritten ? Outcome.RESET : Outcome.NO_CONNECTION);
        }

        /**
         * Ends the connection, and the call that is out, if any, without an answer. Whoever waits
         * is told a task later, never from within the call that ends it.
         */
        void end(Outcome outcome) {
            ResultListener finished = takeListener();
            close(outcome.name());
            if (finished != null) {
                double at = clock.getAsDouble();
                loop.execute(() -> finished.onResult(outcome, null, at));
            }
        }

        private ResultListener takeListener() {
            ResultListener finished = listener;
            listener = null;
            command = null;
            if (timeoutTask != null) {
                timeoutTask.cancel(false);
                timeoutTask = null;
            }
            if (stallTask != null) {
                stallTask.cancel(false);
                stallTask = null;
            }
            return finished;
        }

        void close(String why) {
            if (closed) {
                return;
            }
            closed = true;
            closeListener.accept(address, why);
            openConnections--;
            openByAddress.computeIfPresent(address, (any, count) -> count == 1 ? null : count - 1);
            ArrayDeque<Connection> links = idle.get(address);
            if (links != null) {
                links.remove(this);
            }
            if (channel != null) {
                channel.close();
            }
        }
    }
}
