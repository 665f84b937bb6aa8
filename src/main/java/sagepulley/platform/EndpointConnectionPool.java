package sagepulley.platform;

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
import sagepulley.codec.resp.RespBytes;
import sagepulley.codec.resp.RespDecoder;
import sagepulley.codec.resp.RespLimits;
import sagepulley.model.Attempt;
import sagepulley.model.Outcome;

/**
 * The connections to the nodes: one call at a time on each, and those that are free used again.
 * Carries out and decides nothing: no call is sent twice, and each ends in one outcome. All on one
 * loop.
 */
final class EndpointConnectionPool {
    private static final int LONGEST_LINE = 512;
    private static final int MOST_ITEMS = 3;
    private static final int BESIDE_VALUE = 2048;

    /**
     * What comes some milliseconds late behind an answer must meet a connection that carries
     * nothing.
     */
    private static final double REST = 25;

    /** A time that a command tells is in whole milliseconds: with less left, nothing is sent. */
    private static final double LEAST_LEFT = 1;

    private static final double NS = 1e6;

    /**
     * The words of a command to a node that is given so many milliseconds; null if it may not begin
     * any more.
     */
    interface Command {
        List<byte[]> words(double left);
    }

    /**
     * Told the end of a call, once: the answer if one could be read, else null, and when it came to
     * the machine.
     */
    interface Ended {
        void accept(Outcome outcome, Resp answer, double at);
    }

    private final Transport transport;
    private final EventLoop loop;
    private final int most;
    private final double connectTimeout;
    private final double idleTime;
    private final double stallTime;
    private final DoubleSupplier clock;
    private final RespLimits limits =
            RespLimits.replies(
                    LONGEST_LINE,
                    ClientListener.LONGEST_VALUE,
                    ClientListener.LONGEST_VALUE + BESIDE_VALUE,
                    MOST_ITEMS);

    /** Free connections, the one used last first. */
    private final Map<SocketAddress, ArrayDeque<Link>> free = new HashMap<>();

    private final KernelReceiveTime arrival = new KernelReceiveTime();
    private final ByteBuffer oneByte = ByteBuffer.allocateDirect(1);
    private final IdentityHashMap<Attempt, Link> out = new IdentityHashMap<>();
    private final Map<SocketAddress, Integer> openTo = new HashMap<>();
    private int open;
    private BiConsumer<SocketAddress, String> closeListener = (address, why) -> {};
    long opened;
    long refusedForRoom;

    /**
     * Free connections that were found to have ended, or to have brought something, when they were
     * wanted.
     */
    long foundSpent;

    /** Answers that were no use, by what was wrong with them. */
    final Map<String, Integer> spoilt = new TreeMap<>();

    /** An answer that has begun and brings nothing more for the stall time is spoilt. */
    EndpointConnectionPool(
            Transport transport,
            int most,
            double connectTimeout,
            double idleTime,
            double stallTime,
            DoubleSupplier clock) {
        this.transport = transport;
        this.loop = transport.loops().next();
        this.most = most;
        this.connectTimeout = connectTimeout;
        this.idleTime = idleTime;
        this.stallTime = stallTime;
        this.clock = clock;
    }

    /** Told the reason of each connection's end. */
    void onClose(BiConsumer<SocketAddress, String> listener) {
        closeListener = listener;
    }

    int open() {
        return open;
    }

    /** Connections to an address, free ones and others. */
    int open(SocketAddress address) {
        return openTo.getOrDefault(address, 0);
    }

    int attemptsOut() {
        return out.size();
    }

    /** Sends an attempt's command, and waits so many milliseconds for its answer. */
    void send(
            Attempt attempt, SocketAddress address, Command command, double timeout, Ended ended) {
        Link link =
                call(
                        address,
                        command,
                        timeout,
                        (outcome, answer, at) -> {
                            out.remove(attempt);
                            ended.accept(outcome, answer, at);
                        });
        if (link != null) {
            out.put(attempt, link);
        }
    }

    /** Asks a node something that no client sent. */
    void probe(SocketAddress address, List<byte[]> words, double timeout, Ended ended) {
        call(address, left -> words, timeout, ended);
    }

    /**
     * Nobody waits for this attempt any longer: its connection ends with it at once; its outcome is
     * told later.
     */
    void callOff(Attempt attempt) {
        Link link = out.get(attempt);
        if (link != null) {
            link.end(Outcome.CANCELLED);
        }
    }

    /** The same, if the node has not been sent the whole of it. */
    void callOffUnwritten(Attempt attempt) {
        Link link = out.get(attempt);
        if (link != null && !link.written) {
            link.end(Outcome.CANCELLED);
        }
    }

    private Link call(SocketAddress address, Command command, double timeout, Ended ended) {
        Link link = takeFree(address);
        if (link == null && (open < most || closeOneFree())) {
            link = new Link(address);
        }
        if (link == null) {
            refusedForRoom++;
            loop.execute(() -> ended.accept(Outcome.NO_CONNECTION, null, clock.getAsDouble()));
            return null;
        }
        link.start(command, timeout, ended);
        return link;
    }

    private Link takeFree(SocketAddress address) {
        ArrayDeque<Link> links = free.get(address);
        if (links == null) {
            return null;
        }
        double now = clock.getAsDouble();
        for (Iterator<Link> each = links.iterator(); each.hasNext(); ) {
            Link link = each.next();
            if (now - link.freeSince >= REST) {
                each.remove();
                if (!link.isSpent()) {
                    return link;
                }
                foundSpent++;
                link.close("ended by the endpoint while free");
            }
        }
        return null;
    }

    private boolean closeOneFree() {
        Link oldest = null;
        for (ArrayDeque<Link> links : free.values()) {
            Link last = links.peekLast();
            if (last != null && (oldest == null || last.freeSince < oldest.freeSince)) {
                oldest = last;
            }
        }
        if (oldest != null) {
            oldest.close("room");
        }
        return oldest != null;
    }

    /** Closes what has been free for long, well before the machine would. */
    void sweep() {
        double now = clock.getAsDouble();
        for (ArrayDeque<Link> links : List.copyOf(free.values())) {
            while (!links.isEmpty() && now - links.peekLast().freeSince > idleTime) {
                links.peekLast().close("idle");
            }
        }
        free.values().removeIf(ArrayDeque::isEmpty);
    }

    /** Closes all connections; attempts that are out are called off. */
    void close() {
        List.copyOf(out.keySet()).forEach(this::callOff);
        List.copyOf(free.values())
                .forEach(links -> List.copyOf(links).forEach(link -> link.close("stop")));
    }

    /** One connection. */
    private final class Link extends ChannelInboundHandlerAdapter {
        private final SocketAddress address;
        private final RespDecoder decoder = new RespDecoder(limits);
        private Channel channel;
        private Command command;
        private double until;
        private Ended ended;
        private ScheduledFuture<?> timer;
        private ScheduledFuture<?> stall;
        private boolean connected;
        private boolean written;
        private boolean closed;
        private double freeSince = Double.NaN;
        private double startedAt;

        Link(SocketAddress address) {
            this.address = address;
        }

        void start(Command toSend, double timeout, Ended whenEnded) {
            command = toSend;
            startedAt = clock.getAsDouble();
            until = startedAt + timeout;
            ended = whenEnded;
            written = false;
            freeSince = Double.NaN;
            timer =
                    loop.schedule(
                            this::timedOut, (long) Math.max(1, timeout * NS), TimeUnit.NANOSECONDS);
            if (connected) {
                write();
            } else {
                connect();
            }
        }

        private void connect() {
            open++;
            openTo.merge(address, 1, Integer::sum);
            opened++;
            ChannelFuture connecting =
                    transport
                            .connector()
                            .option(
                                    ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                    (int) Math.max(1, connectTimeout))
                            .handler(
                                    new ChannelInitializer<Channel>() {
                                        @Override
                                        protected void initChannel(Channel fresh) {
                                            fresh.pipeline().addLast(decoder, Link.this);
                                        }
                                    })
                            .connect(address);
            channel = Transport.channelOf(connecting);
            Transport.whenFailed(connecting, loop, cause -> end(Outcome.NO_CONNECTION));
        }

        /** The node is told what is left now, however long the connection took to come up. */
        private void write() {
            double left = until - clock.getAsDouble();
            List<byte[]> words = left < LEAST_LEFT ? null : command.words(left);
            if (words == null) {
                end(left < LEAST_LEFT ? Outcome.NO_CONNECTION : Outcome.NOT_EXECUTED);
                return;
            }
            channel.writeAndFlush(RespBytes.command(words))
                    .addListener(
                            done -> {
                                if (done.isSuccess()) {
                                    written = true;
                                }
                            });
        }

        /**
         * Whether the kernel holds what has not been read here: its end, or bytes that nobody asked
         * for.
         */
        boolean isSpent() {
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
            if (ended != null) {
                write();
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (ended == null) {
                // More than belongs to an answer: nothing of it may meet the next call.
                close("bytes that belong to no answer");
                return;
            }
            Resp answer = (Resp) message;
            Outcome outcome = outcome(answer);
            Ended call = finish();
            // Offered again once all that came with the answer is read.
            freeSince = clock.getAsDouble();
            call.accept(outcome, answer, freeSince - arrival.ago(channel, freeSince - startedAt));
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (ended != null && !closed && decoder.inMiddle()) {
                watchStall();
            }
            if (ended != null || closed || Double.isNaN(freeSince)) {
                return;
            }
            if (decoder.inMiddle()) {
                close("bytes behind an answer");
            } else if (!isOffered()) {
                free.computeIfAbsent(address, any -> new ArrayDeque<>()).addFirst(this);
            }
        }

        /** An answer that stops inside will not go on; one that comes slowly does. */
        private void watchStall() {
            if (stall != null) {
                stall.cancel(false);
            }
            stall =
                    loop.schedule(
                            this::stoppedInside, (long) (stallTime * NS), TimeUnit.NANOSECONDS);
        }

        private void stoppedInside() {
            spoilt("stopped inside");
            end(Outcome.FAILED);
        }

        /** Whoever has begun to answer is not silent. */
        private void timedOut() {
            if (decoder.inMiddle()) {
                stoppedInside();
            } else {
                end(written ? Outcome.TIMED_OUT : Outcome.NO_CONNECTION);
            }
        }

        private boolean isOffered() {
            ArrayDeque<Link> links = free.get(address);
            return links != null && links.contains(this);
        }

        private Outcome outcome(Resp answer) {
            if (answer instanceof Resp.Array array
                    && array.items() != null
                    && array.items().size() == MOST_ITEMS
                    && array.items().get(0) instanceof Resp.Bulk value
                    && !value.isNull()) {
                return Outcome.SERVED;
            }
            if (answer instanceof Resp.Line line && line.isError()) {
                return line.text().startsWith("BUSY") ? Outcome.REJECTED : Outcome.FAILED;
            }
            spoilt("is no answer");
            return Outcome.FAILED;
        }

        /** Counted by kind, of which there are only as many as the codec has sentences. */
        private void spoilt(String how) {
            spoilt.merge(how.replaceAll("[0-9]+", "N"), 1, Integer::sum);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            broken();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof DecoderException) {
                spoilt("cannot be read: " + cause.getMessage());
                end(Outcome.FAILED);
            } else {
                broken();
            }
        }

        /** What was not wholly written has never run. */
        private void broken() {
            end(written ? Outcome.RESET : Outcome.NO_CONNECTION);
        }

        /**
         * Ends the connection, and the call that is out, if any, without an answer. Whoever waits
         * is told a task later, never from within the call that ends it.
         */
        void end(Outcome outcome) {
            Ended call = finish();
            close(outcome.name());
            if (call != null) {
                double at = clock.getAsDouble();
                loop.execute(() -> call.accept(outcome, null, at));
            }
        }

        private Ended finish() {
            Ended call = ended;
            ended = null;
            command = null;
            if (timer != null) {
                timer.cancel(false);
                timer = null;
            }
            if (stall != null) {
                stall.cancel(false);
                stall = null;
            }
            return call;
        }

        void close(String why) {
            if (closed) {
                return;
            }
            closed = true;
            closeListener.accept(address, why);
            open--;
            openTo.computeIfPresent(address, (any, count) -> count == 1 ? null : count - 1);
            ArrayDeque<Link> links = free.get(address);
            if (links != null) {
                links.remove(this);
            }
            if (channel != null) {
                channel.close();
            }
        }
    }
}
