package sagepulley.frontend.resp;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import sagepulley.transport.MemoryAccount;
import sagepulley.transport.PeerAcknowledgement;
import sagepulley.transport.PollNotifier;
import sagepulley.transport.RoundRobinExecutor;
import sagepulley.transport.Transport;

/**
 * Accepts client connections up to a limit, and drains idle ones. Owns the open connections. Runs
 * on the event loop; times are in milliseconds of the handler's clock.
 */
final class ClientListener {
    private static final int ACCEPT_BACKLOG = 1024;

    /** Maximum wait for the first command, or for further bytes of a partial command. */
    private static final double READ_TIMEOUT_MILLIS = 2_000;

    /** Time within which a new client is expected to send its first command. */
    private static final double FIRST_COMMAND_GRACE_MILLIS = 100;

    private static final double WRITE_TIMEOUT_MILLIS = 5_000;

    /** Time without a byte after which a command received in part may have to make room. */
    private static final double INPUT_STALL_MILLIS = 100;

    /** Share of the input memory that is freed at once. */
    private static final double FREED_INPUT_FRACTION = 0.125;

    /** Maximum wait of a drained connection for the client's FIN. */
    private static final double LINGER_TIMEOUT_MILLIS = 1_000;

    private static final int MAX_LINGERING_CONNECTIONS = 16;

    /** Idle timeout while more than half of the allowed connections are open. */
    private static final double BUSY_IDLE_TIMEOUT_MILLIS = 2_000;

    private static final double IDLE_TIMEOUT_MILLIS = 15_000;

    private final Transport transport;
    private final int maxConnections;
    private final double maxCommandMillis;
    private final EventLoop loop;
    private final ClientConnection.Handler handler;
    private final ClientMemory memory;
    private final RoundRobinExecutor turns;
    private final PollNotifier polls;
    private final PeerAcknowledgement acknowledgement = new PeerAcknowledgement();
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private Channel listener;
    private boolean idleTimeoutDisabled;
    private boolean draining;
    private long accepted;
    private long rejected;

    /**
     * @param maxConnections maximum number of open connections, including lingering ones
     * @param maxCommandMillis maximum time to receive a command, as one that takes longer is of no
     *     use to its client; the read timeout if that is longer
     * @param memory accounts for the memory of all connections of this listener
     */
    ClientListener(
            Transport transport,
            int maxConnections,
            double maxCommandMillis,
            ClientMemory memory,
            ClientConnection.Handler handler) {
        this.transport = transport;
        this.loop = transport.eventLoops().next();
        this.maxConnections = maxConnections - MAX_LINGERING_CONNECTIONS;
        this.maxCommandMillis = Math.max(maxCommandMillis, READ_TIMEOUT_MILLIS);
        this.memory = memory;
        this.turns = new RoundRobinExecutor(loop);
        this.polls = new PollNotifier(loop);
        this.handler = handler;
        memory.setInputReclaimer(this::discardStalledInput);
    }

    /** Starts accepting connections. The future completes once the address is bound. */
    ChannelFuture listen(SocketAddress address) {
        ServerBootstrap server =
                new ServerBootstrap()
                        .group(transport.eventLoops())
                        .channel(transport.server())
                        .childOption(
                                ChannelOption.RECVBUF_ALLOCATOR,
                                new AccountedReceiveAllocator(memory))
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
                ClientConnection connection =
                        new ClientConnection(handler, memory, turns, polls, acknowledgement);
                connections.add(connection);
                channel.pipeline().addLast(connection.decoder(), connection);
            }
        };
    }

    /** Removes a closed connection. */
    void remove(ClientConnection connection) {
        connections.remove(connection);
    }

    /** Returns whether any connection has received part of a command. */
    boolean isReadingCommand() {
        return connections.stream().anyMatch(ClientConnection::isReadingCommand);
    }

    /** Returns the number of connections accepted since the start, including rejected ones. */
    long accepted() {
        return accepted;
    }

    /**
     * Returns the number of connections closed on accept because the limit was reached and no other
     * connection could be drained.
     */
    long rejected() {
        return rejected;
    }

    /** Returns the number of open connections. */
    int connectionCount() {
        return connections.size();
    }

    /**
     * Returns whether another connection can be accepted. At the limit, drains an idle connection
     * to make room, and closes the oldest of the drained connections if too many of them linger for
     * their client's FIN.
     */
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
     * Drains one connection without pending replies and returns whether there was one. Chooses the
     * oldest one that has never sent a command and has sent no byte within the grace period.
     * Otherwise chooses the one idle longest, preferring connections without a partial command.
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
            candidate.drainWithoutWaiting("at capacity");
        }
        return candidate != null;
    }

    /**
     * Closes or drains connections that are idle, have stalled within a command, do not read their
     * replies or have lingered too long. During shutdown, also drains connections that have had
     * time to send their first command.
     */
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
            } else if (now - Math.max(connection.drainingSince, connection.lastActiveAt)
                    > WRITE_TIMEOUT_MILLIS) {
                connection.close("drain timeout");
            } else if (isExpired(connection, idleTimeoutMillis, now)) {
                connection.drainWithoutWaiting("idle");
            } else if (draining && now - connection.connectedAt > FIRST_COMMAND_GRACE_MILLIS) {
                connection.drain("shutdown");
            }
        }
    }

    /**
     * Discards the commands that were received in part and have stalled, until there is some room
     * for others.
     */
    private void discardStalledInput() {
        double now = handler.now();
        MemoryAccount input = memory.input();
        for (ClientConnection connection : connections) {
            if (input.availableBytes() >= input.limitBytes() * FREED_INPUT_FRACTION) {
                return;
            }
            if (connection.partialCommandBytes() > 0
                    && now - connection.lastReadAt > INPUT_STALL_MILLIS) {
                connection.discardPartialCommand();
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

    /** Disables the idle timeout of connections that have sent a command. */
    void disableIdleTimeout() {
        idleTimeoutDisabled = true;
    }

    /** Returns whether draining is complete: the listener and all connections are closed. */
    boolean isDrained() {
        return draining && listener == null && connections.isEmpty();
    }

    boolean isDraining() {
        return draining;
    }

    /**
     * Stops listening and drains the open connections. Connections in the kernel's backlog are
     * still accepted and may send a command; {@link #closeExpired} drains them.
     */
    void drain() {
        drainConnections();
        closeOnceBacklogIsEmpty(-1);
    }

    /**
     * Drains the open connections. New ones are still accepted and their commands rejected, so that
     * a command which crosses the end of a connection and is sent again gets a reply.
     */
    void drainConnections() {
        draining = true;
        double now = handler.now();
        for (ClientConnection connection : new ArrayList<>(connections)) {
            if (connection.hasSentCommand
                    || now - connection.connectedAt > FIRST_COMMAND_GRACE_MILLIS) {
                connection.drain("shutdown");
            }
        }
    }

    /**
     * Stops listening and drains all connections without waiting for the rest of commands received
     * in part, which are rejected. Called once the operations in flight have failed.
     */
    void drainAndRejectPartialCommands() {
        drain();
        for (ClientConnection connection : new ArrayList<>(connections)) {
            connection.drainAndRejectPartialCommand("shutdown");
        }
    }

    /** Closes the listener after a loop iteration in which no connection was accepted. */
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
        // A scheduled task runs after the loop has polled its sockets again. A task passed to
        // execute may run before that.
        loop.schedule(() -> closeOnceBacklogIsEmpty(acceptedNow), 1, TimeUnit.MILLISECONDS);
    }
}
