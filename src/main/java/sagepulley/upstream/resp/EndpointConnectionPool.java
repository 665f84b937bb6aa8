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
import sagepulley.codec.resp.InputBudget;
import sagepulley.codec.resp.Resp;
import sagepulley.model.Attempt;
import sagepulley.model.Outcome;
import sagepulley.transport.KernelReceiveTime;
import sagepulley.transport.MemoryAccount;
import sagepulley.transport.Transport;

/**
 * Pools the connections to the endpoints. Each carries one request at a time, and idle ones are
 * reused.
 *
 * <p>The pool never sends a request twice, and each request ends in exactly one outcome. Owns all
 * connections and the attempts in flight on them. Runs on the event loop; times are in
 * milliseconds.
 */
public final class EndpointConnectionPool {
    /**
     * Minimum idle time before reuse, so that late bytes after a reply arrive while the connection
     * has no request.
     */
    private static final double REUSE_DELAY_MILLIS = 25;

    /** Supplies the command of a request when it is about to be written. */
    public interface CommandSource {
        /**
         * Returns the arguments of the command for the remaining time; null if it must no longer be
         * sent.
         */
        List<byte[]> arguments(double remainingMillis);
    }

    /** Receives the result of a request. */
    public interface ResultListener {
        /**
         * Called exactly once for each request.
         *
         * @param reply null if none could be read
         * @param receivedAt time at which the reply arrived at this host, or the request ended
         *     without one
         */
        void onResult(Outcome outcome, Resp reply, double receivedAt);
    }

    private final EventLoop loop;
    private final MemoryAccount replyMemory;
    private final int maxConnections;
    private final double idleTimeoutMillis;
    private final DoubleSupplier clock;
    private final EndpointConnection.SharedResources shared;
    private final EndpointConnection.PoolListener poolListener = poolListener();

    /** Idle connections by address, most recently used first. */
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
     * @param idleTimeoutMillis idle time after which connections are closed
     * @param stallTimeoutMillis maximum pause within a reply before it counts as invalid
     * @param maxReplyBytes maximum memory of all replies received in part; a reply that does not
     *     fit fails its request
     * @param clock monotonic clock in milliseconds
     */
    public EndpointConnectionPool(
            Transport transport,
            int maxConnections,
            double connectTimeoutMillis,
            double idleTimeoutMillis,
            double stallTimeoutMillis,
            long maxReplyBytes,
            DoubleSupplier clock) {
        this.replyMemory = new MemoryAccount(maxReplyBytes);
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
                        ByteBuffer.allocateDirect(1),
                        replyBudget());
    }

    private InputBudget replyBudget() {
        return new InputBudget() {
            @Override
            public boolean mayDecode() {
                return true;
            }

            @Override
            public boolean reserve(int bytes) {
                return replyMemory.tryReserve(bytes);
            }

            @Override
            public void reserveWaiting(int bytes) {
                replyMemory.reserve(bytes);
            }

            @Override
            public void release(int bytes) {
                replyMemory.release(bytes);
            }
        };
    }

    /** Sets the listener for the address and the reason of each closed connection. */
    public void setCloseListener(BiConsumer<SocketAddress, String> listener) {
        closeListener = listener;
    }

    // ---- statistics ----

    /** Returns the account of replies received in part. */
    public MemoryAccount replyMemory() {
        return replyMemory;
    }

    /** Returns the number of connections that are open or being opened. */
    public int openConnections() {
        return openConnections;
    }

    /** Returns the number of connections to an address that are open or being opened. */
    public int openConnections(SocketAddress address) {
        return openByAddress.getOrDefault(address, 0);
    }

    /** Returns the number of connections opened since the start. */
    public long connectionsOpened() {
        return connectionsOpened;
    }

    /**
     * Returns the number of requests that ended immediately because all connections were in use.
     */
    public long rejectedAtLimit() {
        return rejectedAtLimit;
    }

    /** Returns the number of idle connections found closed or with unread input before reuse. */
    public long staleConnections() {
        return staleConnections;
    }

    /** Returns the number of invalid replies by kind of defect. */
    public Map<String, Integer> invalidReplies() {
        return Collections.unmodifiableMap(invalidReplies);
    }

    /** Returns the number of attempts without an outcome. */
    public int attemptsInFlight() {
        return inFlight.size();
    }

    // ---- requests ----

    /** Sends the command of an attempt and waits for the reply until the timeout. */
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

    /** Sends a health check command, which belongs to no client request. */
    public void sendHealthCheck(
            SocketAddress address,
            List<byte[]> arguments,
            double timeoutMillis,
            ResultListener listener) {
        start(address, remainingMillis -> arguments, timeoutMillis, listener);
    }

    /** Closes the connection of an attempt immediately. Its listener is called in a later task. */
    public void cancel(Attempt attempt) {
        EndpointConnection connection = inFlight.get(attempt);
        if (connection != null) {
            connection.end(Outcome.CANCELLED);
        }
    }

    /** Cancels the attempt unless its command has been written in full. */
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

    /**
     * Closes the connections that have been idle for longer than the idle timeout, before their
     * endpoint does.
     */
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

    /** Cancels the attempts in flight and closes the idle connections. */
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
                        idle.computeIfAbsent(connection.address(), key -> new ArrayDeque<>());
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
                        address, (key, count) -> count == 1 ? null : count - 1);
                ArrayDeque<EndpointConnection> connections = idle.get(address);
                if (connections != null) {
                    connections.remove(connection);
                }
            }

            /**
             * Counts invalid replies by kind. Numbers in the reason are masked, which bounds the
             * number of kinds.
             */
            @Override
            public void onInvalidReply(String reason) {
                invalidReplies.merge(reason.replaceAll("[0-9]+", "N"), 1, Integer::sum);
            }
        };
    }
}
