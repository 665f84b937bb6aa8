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
 * Accepts clients' connections up to a limit, and drains those that nobody uses. Owns the open
 * connections. Runs on the event loop; times are milliseconds of the handler's clock.
 */
final class ClientListener {
    private static final int MAX_LINE_BYTES = 64;
    private static final int MAX_ARGUMENTS = 8;
    private static final int MAX_OTHER_ARGUMENTS_BYTES = 4096;
    private static final RespLimits LIMITS =
            RespLimits.commands(
                    MAX_LINE_BYTES,
                    RespLimits.MAX_VALUE_BYTES,
                    RespLimits.MAX_VALUE_BYTES + MAX_OTHER_ARGUMENTS_BYTES,
                    MAX_ARGUMENTS);
    private static final int ACCEPT_BACKLOG = 1024;
    private static final int WRITE_BUFFER_LOW_BYTES = 65_536;
    private static final int WRITE_BUFFER_HIGH_BYTES = 262_144;

    /** A connection is drained after this long without the rest of a command, or its first one. */
    private static final double READ_TIMEOUT_MILLIS = 2_000;

    /** A client that connects in order to send a command has sent it by then. */
    private static final double FIRST_COMMAND_GRACE_MILLIS = 100;

    private static final double WRITE_TIMEOUT_MILLIS = 5_000;

    /** A half-closed connection waits this long for the peer's FIN. */
    private static final double LINGER_TIMEOUT_MILLIS = 1_000;

    private static final int MAX_LINGERING_CONNECTIONS = 16;

    /** An idle connection is drained after this long where more than half are in use. */
    private static final double BUSY_IDLE_TIMEOUT_MILLIS = 2_000;

    private static final double IDLE_TIMEOUT_MILLIS = 15_000;

    private final Transport transport;
    private final int maxConnections;
    private final double maxCommandMillis;
    private final EventLoop loop;
    private final ClientConnection.Handler handler;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private Channel listener;
    private boolean idleTimeoutDisabled;
    private boolean draining;
    private long accepted;
    private long rejected;

    /**
     * @param maxConnections open connections at most, with those that linger
     * @param maxCommandMillis a command that takes longer to come is of no use to its client
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

    /** Begins to accept; completes once the address is bound. */
    ChannelFuture listen(SocketAddress address) {
        ServerBootstrap server =
                new ServerBootstrap()
                        .group(transport.eventLoops())
                        .channel(transport.server())
                        .childOption(
                                ChannelOption.WRITE_BUFFER_WATER_MARK,
                                new WriteBufferWaterMark(
                                        WRITE_BUFFER_LOW_BYTES, WRITE_BUFFER_HIGH_BYTES))
                        .handler(new AcceptErrorHandler())
                        .childHandler(childInitializer());
        if (address instanceof InetSocketAddress) {
            server.option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .childOption(ChannelOption.TCP_NODELAY, true);
        }
        ChannelFuture bound = server.bind(address);
        listener = bound.channel();
        return bound;
    }

    private ChannelInitializer<Channel> childInitializer() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                accepted++;
                if (!ensureCapacity()) {
                    rejected++;
                    channel.close();
                    return;
                }
                RespDecoder decoder = new RespDecoder(LIMITS);
                ClientConnection connection = new ClientConnection(handler, decoder);
                connections.add(connection);
                channel.pipeline().addLast(decoder, connection);
            }
        };
    }

    /** Forgets a connection that is closed. */
    void remove(ClientConnection connection) {
        connections.remove(connection);
    }

    /** Whether part of a command has been read on some connection. */
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

    /** Whether one more can be accepted, if need be by draining another. */
    private boolean ensureCapacity() {
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
            oldestLingering.close("at capacity");
        }
        return drainIdleConnection();
    }

    /**
     * Drains one connection that awaits no reply: the oldest that never sent a command although it
     * had time to, else the one that was idle longest, preferably without a command under way.
     */
    private boolean drainIdleConnection() {
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
            candidate.drain("at capacity");
        }
        return candidate != null;
    }

    /** Ends connections that are idle, that stop inside a command, or that read nothing. */
    void closeExpired() {
        double now = handler.now();
        boolean isBusy = connections.size() > maxConnections / 2;
        double idleTimeoutMillis = isBusy ? BUSY_IDLE_TIMEOUT_MILLIS : IDLE_TIMEOUT_MILLIS;
        for (ClientConnection connection : new ArrayList<>(connections)) {
            if (now - connection.unwritableSince > WRITE_TIMEOUT_MILLIS) {
                connection.close("write timeout");
            } else if (now - connection.drainedSince > LINGER_TIMEOUT_MILLIS) {
                connection.close("linger timeout");
            } else if (connection.hasPendingReplies()) {
                continue;
            } else if (isExpired(connection, idleTimeoutMillis, now)) {
                connection.drain("idle");
            } else if (draining && now - connection.connectedAt > FIRST_COMMAND_GRACE_MILLIS) {
                connection.drain("shutdown");
            }
        }
    }

    private boolean isExpired(ClientConnection connection, double idleTimeoutMillis, double now) {
        if (connection.isReadingCommand()) {
            return now - connection.lastReadAt > READ_TIMEOUT_MILLIS
                    || now - connection.partialCommandSince > maxCommandMillis;
        }
        if (!connection.hasSentCommand) {
            return now - connection.connectedAt > READ_TIMEOUT_MILLIS;
        }
        return !idleTimeoutDisabled && now - connection.lastActiveAt > idleTimeoutMillis;
    }

    /** From now on connections stay open however long they are idle. */
    void disableIdleTimeout() {
        idleTimeoutDisabled = true;
    }

    /** Whether it drains, and the last connection is closed. */
    boolean isDrained() {
        return draining && listener == null && connections.isEmpty();
    }

    boolean isDraining() {
        return draining;
    }

    /**
     * Accepts no new connections, and drains the open ones. Those that the kernel has accepted by
     * now are accepted first, and may still send a command: {@link #closeExpired} drains them.
     */
    void drain() {
        draining = true;
        closeOnceBacklogIsEmpty(-1);
        double now = handler.now();
        for (ClientConnection connection : new ArrayList<>(connections)) {
            if (connection.hasSentCommand
                    || now - connection.connectedAt > FIRST_COMMAND_GRACE_MILLIS) {
                connection.drain("shutdown");
            }
        }
    }

    /** Closes the listener in a turn of the loop in which nobody was left to be accepted. */
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
        // Scheduled, not executed: the loop polls its sockets before it runs what was
        // scheduled meanwhile.
        loop.schedule(() -> closeOnceBacklogIsEmpty(acceptedNow), 1, TimeUnit.MILLISECONDS);
    }
}
