package sagepulley.frontend.resp;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import sagepulley.codec.resp.RespDecoder;
import sagepulley.codec.resp.RespLimits;
import sagepulley.transport.Transport;

/**
 * Where clients connect: takes connections up to a number, and ends those that nobody uses. On the
 * loop.
 */
final class ClientListener {
    private static final int MAX_LINE_BYTES = 64;
    private static final int MAX_ARGUMENTS = 8;
    private static final int MAX_OTHER_ARGUMENTS_BYTES = 4096;
    private static final int ACCEPT_BACKLOG = 1024;
    private static final int WRITE_BUFFER_LOW_BYTES = 65_536;
    private static final int WRITE_BUFFER_HIGH_BYTES = 262_144;

    /**
     * A connection that owes bytes, of a command or of its first one, is ended after this long
     * without any.
     */
    private static final double READ_TIMEOUT_MILLIS = 2_000;

    /** A client that means to ask has done so by then. */
    private static final double FIRST_COMMAND_GRACE_MILLIS = 100;

    private static final double WRITE_TIMEOUT_MILLIS = 5_000;

    /**
     * A connection that has said its end waits so long for the peer's, and at most so many wait.
     */
    private static final double LINGER_TIMEOUT_MILLIS = 1_000;

    private static final int MAX_LINGERING_CONNECTIONS = 16;

    /**
     * One that nobody uses may go after this long where room is short, and goes after that long
     * anyway.
     */
    private static final double BUSY_IDLE_TIMEOUT_MILLIS = 2_000;

    private static final double IDLE_TIMEOUT_MILLIS = 15_000;

    private final Transport transport;
    private final int maxConnections;
    private final double maxCommandMillis;
    private final EventLoop loop;
    private final ClientConnection.Handler handler;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private Channel listener;
    private boolean keepIdle;
    private boolean draining;
    private long accepted;
    private long rejected;

    /**
     * So many connections at most; a command that takes longer than the slowest time to come is of
     * no use.
     */
    ClientListener(
            Transport transport,
            int maxConnections,
            double maxCommandMillis,
            ClientConnection.Handler handler) {
        this.transport = transport;
        this.loop = transport.eventLoops().next();
        this.maxConnections = maxConnections - MAX_LINGERING_CONNECTIONS;
        this.maxCommandMillis = Math.max(maxCommandMillis, READ_TIMEOUT_MILLIS);
        this.handler = handler;
    }

    ChannelFuture listen(SocketAddress address) {
        RespLimits limits =
                RespLimits.commands(
                        MAX_LINE_BYTES,
                        RespLimits.MAX_VALUE_BYTES,
                        RespLimits.MAX_VALUE_BYTES + MAX_OTHER_ARGUMENTS_BYTES,
                        MAX_ARGUMENTS);
        ServerBootstrap server =
                new ServerBootstrap()
                        .group(transport.eventLoops())
                        .channel(transport.server())
                        .childOption(
                                ChannelOption.WRITE_BUFFER_WATER_MARK,
                                new WriteBufferWaterMark(
                                        WRITE_BUFFER_LOW_BYTES, WRITE_BUFFER_HIGH_BYTES))
                        .handler(new AcceptErrorHandler())
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        accepted++;
                                        if (!hasCapacity()) {
                                            rejected++;
                                            channel.close();
                                            return;
                                        }
                                        RespDecoder decoder = new RespDecoder(limits);
                                        ClientConnection connection =
                                                new ClientConnection(handler, decoder);
                                        connections.add(connection);
                                        channel.pipeline().addLast(decoder, connection);
                                    }
                                });
        if (address instanceof InetSocketAddress) {
            server.option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .childOption(ChannelOption.TCP_NODELAY, true);
        }
        ChannelFuture bound = server.bind(address);
        listener = bound.channel();
        return bound;
    }

    void remove(ClientConnection connection) {
        connections.remove(connection);
    }

    /** Whether some connection has a command under way. */
    boolean isReadingCommand() {
        return connections.stream().anyMatch(ClientConnection::isReadingCommand);
    }

    /** Connections accepted since the start, with those that were closed at once. */
    long accepted() {
        return accepted;
    }

    /** Connections closed at once since the limit was reached and none could give way. */
    long rejected() {
        return rejected;
    }

    /** Connections that are open. */
    int connectionCount() {
        return connections.size();
    }

    /** Whether one more can be held, if need be by ending another. */
    private boolean hasCapacity() {
        ClientConnection oldestLingering = null;
        int lingering = 0;
        for (ClientConnection connection : connections) {
            if (connection.isDraining() && !connection.hasPendingReplies()) {
                oldestLingering = oldestLingering == null ? connection : oldestLingering;
                lingering++;
            }
        }
        if (connections.size() - lingering < maxConnections) {
            return true;
        }
        if (lingering >= MAX_LINGERING_CONNECTIONS) {
            oldestLingering.close("room");
        }
        return drainLeastUseful();
    }

    /**
     * Ends one connection without an open command: the oldest that never asked, if what it would
     * ask must have come by now, else whoever was unused longest, and of those rather one that has
     * begun no command.
     */
    private boolean drainLeastUseful() {
        ClientConnection candidate = null;
        double now = handler.now();
        for (ClientConnection connection : connections) {
            if (connection.hasPendingReplies() || connection.isDraining()) {
                continue;
            }
            if (!connection.hasSentCommand
                    && now - connection.lastReadAt > FIRST_COMMAND_GRACE_MILLIS) {
                candidate = connection;
                break;
            }
            if (candidate == null
                    || (candidate.isReadingCommand() && !connection.isReadingCommand())
                    || (candidate.isReadingCommand() == connection.isReadingCommand()
                            && connection.lastActiveAt < candidate.lastActiveAt)) {
                candidate = connection;
            }
        }
        if (candidate != null) {
            candidate.drain("room");
        }
        return candidate != null;
    }

    /** Ends connections that nobody uses, that stop inside a command, or that read nothing. */
    void closeExpired() {
        double now = handler.now();
        boolean isBusy = connections.size() > maxConnections / 2;
        for (ClientConnection connection : new ArrayList<>(connections)) {
            double idleMillis = now - connection.lastActiveAt;
            double silentMillis = now - connection.lastReadAt;
            if (now - connection.unwritableSince > WRITE_TIMEOUT_MILLIS
                    || now - connection.drainedSince > LINGER_TIMEOUT_MILLIS) {
                connection.close(
                        now - connection.unwritableSince > WRITE_TIMEOUT_MILLIS
                                ? "reads nothing"
                                : "peer never ends");
            } else if (connection.hasPendingReplies()) {
                continue;
            } else if (connection.isReadingCommand()
                    ? silentMillis > READ_TIMEOUT_MILLIS
                            || now - connection.partialCommandSince > maxCommandMillis
                    : !connection.hasSentCommand
                            ? now - connection.connectedAt > READ_TIMEOUT_MILLIS
                            : !keepIdle
                                    && idleMillis
                                            > (isBusy
                                                    ? BUSY_IDLE_TIMEOUT_MILLIS
                                                    : IDLE_TIMEOUT_MILLIS)) {
                connection.drain("unused");
            } else if (draining && now - connection.connectedAt > FIRST_COMMAND_GRACE_MILLIS) {
                connection.drain("stop");
            }
        }
    }

    /** Connections stay open from now on, however long they are not used. */
    void keepIdleConnections() {
        keepIdle = true;
    }

    /** Whether it has been ended, and the last connection is closed. */
    boolean isDrained() {
        return draining && listener == null && connections.isEmpty();
    }

    boolean isDraining() {
        return draining;
    }

    /**
     * Takes no new connections, and ends each of those that stand once all that it asked is
     * answered. What the kernel has accepted by now is taken first, and may still ask: the sweep
     * ends it.
     */
    void drain() {
        draining = true;
        closeOnceBacklogIsEmpty(-1);
        double now = handler.now();
        for (ClientConnection connection : new ArrayList<>(connections)) {
            if (connection.hasSentCommand
                    || now - connection.connectedAt > FIRST_COMMAND_GRACE_MILLIS) {
                connection.drain("stop");
            }
        }
    }

    /**
     * Closes it in a turn of the loop in which it was asked for connections and nobody was there to
     * be accepted.
     */
    private void closeOnceBacklogIsEmpty(long acceptedBefore) {
        if (listener == null) {
            return;
        }
        if (accepted == acceptedBefore && listener.config().isAutoRead()) {
            listener.close();
            listener = null;
            return;
        }
        long acceptedNow = accepted;
        // Not executed but scheduled: the loop looks at its sockets before it runs what was
        // scheduled meanwhile.
        loop.schedule(() -> closeOnceBacklogIsEmpty(acceptedNow), 1, TimeUnit.MILLISECONDS);
    }
}
