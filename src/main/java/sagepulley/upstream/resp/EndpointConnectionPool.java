package sagepulley.upstream.resp;

import io.netty.channel.EventLoop;
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
import java.util.function.BiConsumer;
import java.util.function.DoubleSupplier;
import sagepulley.codec.resp.Resp;
import sagepulley.model.Attempt;
import sagepulley.model.Outcome;
import sagepulley.transport.KernelReceiveTime;
import sagepulley.transport.Transport;

/**
 * Connections to the endpoints: one request at a time on each, and idle ones are reused. Decides
 * nothing: no request is sent twice, and each ends in one outcome. Owns all connections and the
 * attempts in flight on them. Runs on the event loop; times are milliseconds.
 */
public final class EndpointConnectionPool {
    /**
     * Idle time before a connection is reused, so that bytes which follow a reply a little later
     * meet a connection without a request.
     */
    private static final double REUSE_DELAY_MILLIS = 25;

    /** Makes a request's command at the moment at which it is written. */
    public interface CommandSource {
        /**
         * The command's arguments for an endpoint that has this long; null if the command may not
         * be sent any more.
         */
        List<byte[]> arguments(double remainingMillis);
    }

    /** Waits for the end of a request. */
    public interface ResultListener {
        /**
         * Called once for each request.
         *
         * @param reply null if none could be read
         * @param receivedAt when the reply came to this machine, or the request ended without one
         */
        void onResult(Outcome outcome, Resp reply, double receivedAt);
    }

    private final EventLoop loop;
    private final int maxConnections;
    private final double idleTimeoutMillis;
    private final DoubleSupplier clock;
    private final EndpointConnection.SharedResources shared;
    private final EndpointConnection.PoolListener poolListener = poolListener();

    /** Idle connections by address, the one used last first. */
    private final Map<SocketAddress, ArrayDeque<EndpointConnection>> idle = new HashMap<>();

    private final IdentityHashMap<Attempt, EndpointConnection> inFlight = new IdentityHashMap<>();
    private final Map<SocketAddress, Integer> openByAddress = new HashMap<>();
    private final Map<String, Integer> invalidReplies = new TreeMap<>();
    private BiConsumer<SocketAddress, String> closeListener = (address, reason) -> {};
    private int openConnections;
    private long connectionsOpened;
    private long rejectedAtLimit;
    private long staleConnections;

    /**
     * @param idleTimeoutMillis connections that are idle for longer are closed
     * @param stallTimeoutMillis a reply that has begun and pauses for this long is invalid
     * @param clock milliseconds on a monotonic clock
     */
    public EndpointConnectionPool(
            Transport transport,
            int maxConnections,
            double connectTimeoutMillis,
            double idleTimeoutMillis,
            double stallTimeoutMillis,
            DoubleSupplier clock) {
        this.loop = transport.eventLoops().next();
        this.maxConnections = maxConnections;
        this.idleTimeoutMillis = idleTimeoutMillis;
        this.clock = clock;
        this.shared =
                new EndpointConnection.SharedResources(
                        transport,
                        loop,
                        connectTimeoutMillis,
                        stallTimeoutMillis,
                        clock,
                        new KernelReceiveTime(),
                        ByteBuffer.allocateDirect(1));
    }

    /** Sets who learns the address and the reason of each connection's close. */
    public void onClose(BiConsumer<SocketAddress, String> listener) {
        closeListener = listener;
    }

    // ---- figures ----

    /** Connections that are open or being opened. */
    public int openConnections() {
        return openConnections;
    }

    /** Connections to one address that are open or being opened. */
    public int openConnections(SocketAddress address) {
        return openByAddress.getOrDefault(address, 0);
    }

    /** Connections opened since the start. */
    public long connectionsOpened() {
        return connectionsOpened;
    }

    /** Requests since the start that ended at once because all connections were in use. */
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

    // ---- requests ----

    /** Sends an attempt's command, and waits for the reply for this long. */
    public void send(
            Attempt attempt,
            SocketAddress address,
            CommandSource command,
            double timeoutMillis,
            ResultListener listener) {
        EndpointConnection connection =
                start(
                        address,
                        command,
                        timeoutMillis,
                        (outcome, reply, receivedAt) -> {
                            inFlight.remove(attempt);
                            listener.onResult(outcome, reply, receivedAt);
                        });
        if (connection != null) {
            inFlight.put(attempt, connection);
        }
    }

    /** Sends a command that belongs to no client's request. */
    public void sendHealthCheck(
            SocketAddress address,
            List<byte[]> arguments,
            double timeoutMillis,
            ResultListener listener) {
        start(address, remainingMillis -> arguments, timeoutMillis, listener);
    }

    /** Closes the attempt's connection at once; its listener is called in a later task. */
    public void cancel(Attempt attempt) {
        EndpointConnection connection = inFlight.get(attempt);
        if (connection != null) {
            connection.end(Outcome.CANCELLED);
        }
    }

    /** Cancels the attempt unless its whole command has been given to the system. */
    public void cancelUnwritten(Attempt attempt) {
        EndpointConnection connection = inFlight.get(attempt);
        if (connection != null && !connection.isCommandWritten()) {
            connection.end(Outcome.CANCELLED);
        }
    }

    private EndpointConnection start(
            SocketAddress address,
            CommandSource command,
            double timeoutMillis,
            ResultListener listener) {
        EndpointConnection connection = takeIdle(address);
        if (connection == null && (openConnections < maxConnections || closeOldestIdle())) {
            connection = open(address);
        }
        if (connection == null) {
            rejectedAtLimit++;
            loop.execute(() -> listener.onResult(Outcome.NO_CONNECTION, null, clock.getAsDouble()));
            return null;
        }
        connection.start(command, timeoutMillis, listener);
        return connection;
    }

    // ---- connections ----

    private EndpointConnection open(SocketAddress address) {
        openConnections++;
        openByAddress.merge(address, 1, Integer::sum);
        connectionsOpened++;
        return new EndpointConnection(address, shared, poolListener);
    }

    private EndpointConnection takeIdle(SocketAddress address) {
        ArrayDeque<EndpointConnection> candidates = idle.get(address);
        if (candidates == null) {
            return null;
        }
        double now = clock.getAsDouble();
        for (Iterator<EndpointConnection> iterator = candidates.iterator(); iterator.hasNext(); ) {
            EndpointConnection connection = iterator.next();
            if (now - connection.idleSince() >= REUSE_DELAY_MILLIS) {
                iterator.remove();
                if (!connection.isStale()) {
                    return connection;
                }
                staleConnections++;
                connection.close("closed by the endpoint while idle");
            }
        }
        return null;
    }

    private boolean closeOldestIdle() {
        EndpointConnection oldest = null;
        for (ArrayDeque<EndpointConnection> connections : idle.values()) {
            EndpointConnection last = connections.peekLast();
            if (last != null && (oldest == null || last.idleSince() < oldest.idleSince())) {
                oldest = last;
            }
        }
        if (oldest != null) {
            oldest.close("at capacity");
        }
        return oldest != null;
    }

    /** Closes connections that have been idle for long, before their endpoint does. */
    public void closeExpired() {
        double now = clock.getAsDouble();
        for (ArrayDeque<EndpointConnection> connections : List.copyOf(idle.values())) {
            while (!connections.isEmpty()
                    && now - connections.peekLast().idleSince() > idleTimeoutMillis) {
                connections.peekLast().close("idle");
            }
        }
        idle.values().removeIf(ArrayDeque::isEmpty);
    }

    /** Closes all connections; attempts in flight are cancelled. */
    public void close() {
        List.copyOf(inFlight.keySet()).forEach(this::cancel);
        for (ArrayDeque<EndpointConnection> connections : List.copyOf(idle.values())) {
            List.copyOf(connections).forEach(connection -> connection.close("shutdown"));
        }
    }

    private EndpointConnection.PoolListener poolListener() {
        return new EndpointConnection.PoolListener() {
            @Override
            public void onIdle(EndpointConnection connection) {
                ArrayDeque<EndpointConnection> connections =
                        idle.computeIfAbsent(connection.address(), any -> new ArrayDeque<>());
                if (!connections.contains(connection)) {
                    connections.addFirst(connection);
                }
            }

            @Override
            public void onClosed(EndpointConnection connection, String reason) {
                SocketAddress address = connection.address();
                closeListener.accept(address, reason);
                openConnections--;
                openByAddress.computeIfPresent(
                        address, (any, count) -> count == 1 ? null : count - 1);
                ArrayDeque<EndpointConnection> connections = idle.get(address);
                if (connections != null) {
                    connections.remove(connection);
                }
            }

            /** Counted by kind, of which there are as many as the decoder has messages. */
            @Override
            public void onInvalidReply(String reason) {
                invalidReplies.merge(reason.replaceAll("[0-9]+", "N"), 1, Integer::sum);
            }
        };
    }
}
