package sagepulley.faultinjection;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A discovery service on loopback with injectable faults. Each gateway uses its own port, so that
 * the lists written to it are known. All times are System.nanoTime.
 */
final class DiscoveryServer implements Closeable {
    private static final Pattern WATCH =
            Pattern.compile("GET /v1/endpoints\\?watch=1&after=(-?\\d+) .*");
    private static final long HEARTBEAT_MILLIS = 2_000;
    private static final long POLL_INTERVAL_MILLIS = 10;
    private static final int BACKLOG = 200;

    /** Two unaccepted connections fill this backlog, so that further ones are not established. */
    private static final int UNREACHABLE_BACKLOG = 1;

    private static final int FILLER_CONNECTIONS = 2;

    /** Time after a move until the former address closes its connections. */
    private static final long FORMER_ADDRESS_MILLIS = 1_500;

    private static final long NO_END = Long.MAX_VALUE;

    private enum Reachability {
        REACHABLE,
        DOWN,
        CUT_OFF
    }

    /**
     * A write that brought a gateway's list up to a revision.
     *
     * @param at when it was written
     * @param connectedAt when its connection was accepted
     */
    record WrittenList(long at, int gateway, long revision, long connectedAt) {}

    /** A period during which discovery was unreachable; until is Long.MAX_VALUE while it lasts. */
    record Outage(long from, long until) {}

    final EndpointHistory endpoints = new EndpointHistory();

    /** Behaviour of calls that arrive from now on, and of later list writes to open watches. */
    volatile DiscoveryBehaviour behaviour = DiscoveryBehaviour.HEALTHY;

    /** Open watches get neither changes nor heartbeats while this is set. */
    volatile boolean watchesSilent;

    private final Map<Integer, ServerSocket> listeners = new ConcurrentHashMap<>();
    private final Map<Integer, Integer> ports = new ConcurrentHashMap<>();
    private final Map<Integer, List<Socket>> backlogFillers = new ConcurrentHashMap<>();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final List<WrittenList> written = new ArrayList<>();
    private final List<Outage> outages = new ArrayList<>();
    private final Semaphore callPermit = new Semaphore(1, true);
    private final AtomicInteger waitingCalls = new AtomicInteger();
    private Reachability reachability = Reachability.REACHABLE;
    private volatile boolean closed;

    /** Returns the lists written to gateways so far. */
    synchronized List<WrittenList> written() {
        return new ArrayList<>(written);
    }

    /** Returns the outages in order. */
    synchronized List<Outage> outages() {
        return new ArrayList<>(outages);
    }

    // ---- addresses ----

    /**
     * Allocates an address for one gateway and listens on it according to the present reachability.
     */
    synchronized InetSocketAddress listenFor(int gateway) throws IOException {
        int port = Ports.allocate().getPort();
        ports.put(gateway, port);
        switch (reachability) {
            case REACHABLE -> bind(gateway, port);
            case DOWN -> {}
            case CUT_OFF -> bindUnreachable(gateway, port);
        }
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    /**
     * Moves one gateway to another address. The former one accepts no more connections and soon
     * closes the open ones.
     */
    synchronized InetSocketAddress moveFor(int gateway) throws IOException {
        BackgroundTasks.close(listeners.get(gateway));
        backlogFillers.getOrDefault(gateway, List.of()).forEach(BackgroundTasks::reset);
        int formerPort = ports.get(gateway);
        InetSocketAddress newAddress = listenFor(gateway);
        BackgroundTasks.run(
                "discovery-move",
                () -> {
                    Thread.sleep(FORMER_ADDRESS_MILLIS);
                    connections.stream()
                            .filter(socket -> socket.getLocalPort() == formerPort)
                            .forEach(BackgroundTasks::close);
                });
        return newAddress;
    }

    private void bind(int gateway, int port) throws IOException {
        ServerSocket listener = Ports.listen(port, BACKLOG);
        listeners.put(gateway, listener);
        BackgroundTasks.run("discovery", () -> accept(gateway, listener));
    }

    private void bindUnreachable(int gateway, int port) throws IOException {
        listeners.put(gateway, Ports.listen(port, UNREACHABLE_BACKLOG));
        List<Socket> filling = new ArrayList<>();
        for (int i = 0; i < FILLER_CONNECTIONS; i++) {
            filling.add(new Socket(InetAddress.getLoopbackAddress(), port));
        }
        backlogFillers.put(gateway, filling);
    }

    private void accept(int gateway, ServerSocket listener) throws IOException {
        while (!closed) {
            Socket socket = listener.accept();
            connections.add(socket);
            BackgroundTasks.run(
                    "discovery-call",
                    () -> {
                        try (socket) {
                            answer(gateway, socket);
                        } finally {
                            connections.remove(socket);
                        }
                    });
        }
    }

    // ---- reachability ----

    /** Simulates the end of the process: connections are reset and new ones refused. */
    synchronized void stop() {
        beginOutage(Reachability.DOWN);
        listeners.values().forEach(BackgroundTasks::close);
        connections.forEach(BackgroundTasks::reset);
    }

    /**
     * Simulates a network partition: connections stay open but silent, and new ones are not
     * established.
     */
    synchronized void cutOff() throws IOException {
        beginOutage(Reachability.CUT_OFF);
        watchesSilent = true;
        for (Map.Entry<Integer, ServerSocket> entry : List.copyOf(listeners.entrySet())) {
            BackgroundTasks.close(entry.getValue());
            bindUnreachable(entry.getKey(), ports.get(entry.getKey()));
        }
    }

    /** Ends the outage; connections from before are reset. */
    synchronized void restore() throws IOException {
        connections.forEach(BackgroundTasks::reset);
        reachability = Reachability.REACHABLE;
        watchesSilent = false;
        for (Map.Entry<Integer, Integer> entry : ports.entrySet()) {
            BackgroundTasks.close(listeners.get(entry.getKey()));
            backlogFillers.getOrDefault(entry.getKey(), List.of()).forEach(BackgroundTasks::reset);
            bind(entry.getKey(), entry.getValue());
        }
        backlogFillers.clear();
        int last = outages.size() - 1;
        outages.set(last, new Outage(outages.get(last).from(), System.nanoTime()));
    }

    /** Resets all connections and keeps serving. */
    void resetConnections() {
        connections.forEach(BackgroundTasks::reset);
    }

    private void beginOutage(Reachability outage) {
        outages.add(new Outage(System.nanoTime(), NO_END));
        reachability = outage;
    }

    // ---- one call ----

    private void answer(int gateway, Socket socket) throws IOException, InterruptedException {
        long connectedAt = System.nanoTime();
        String requestLine = readRequestLine(socket);
        if (requestLine == null) {
            return;
        }
        DiscoveryBehaviour current = behaviour;
        if (current.mode() == DiscoveryBehaviour.Mode.UNRESPONSIVE) {
            socket.getInputStream().read();
            return;
        }
        TricklingOutput out = new TricklingOutput(socket);
        if (current.mode() == DiscoveryBehaviour.Mode.REJECTS || !waitInQueue(current.queue())) {
            out.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        Thread.sleep(current.firstByteDelayMillis());
        Matcher watch = WATCH.matcher(requestLine);
        boolean isWatch = watch.matches();
        long after = isWatch ? Long.parseLong(watch.group(1)) : -1;
        long revision = endpoints.revision();
        String list = endpoints.json(after, behaviour.indented());
        if (!isWatch) {
            out.write("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n");
            out.write(list, current.trickleMillis());
            recordWritten(gateway, revision, connectedAt);
            return;
        }
        out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        out.writeChunk(list, current.trickleMillis());
        recordWritten(gateway, revision, connectedAt);
        writeChanges(gateway, out, revision, connectedAt);
    }

    /** Reads a call and returns its request line; null if the connection ended. */
    private static String readRequestLine(Socket socket) throws IOException {
        BufferedReader reader =
                new BufferedReader(
                        new InputStreamReader(
                                socket.getInputStream(), StandardCharsets.ISO_8859_1));
        String requestLine = reader.readLine();
        for (String header = reader.readLine(); header != null && !header.isEmpty(); ) {
            header = reader.readLine();
        }
        return requestLine;
    }

    private boolean waitInQueue(DiscoveryBehaviour.CallQueue queue) throws InterruptedException {
        if (queue == null) {
            return true;
        }
        if (waitingCalls.get() >= queue.limit()) {
            return false;
        }
        waitingCalls.incrementAndGet();
        try {
            if (!callPermit.tryAcquire(queue.timeoutMillis(), TimeUnit.MILLISECONDS)) {
                return false;
            }
            try {
                Thread.sleep(queue.serviceMillis());
            } finally {
                callPermit.release();
            }
            return true;
        } finally {
            waitingCalls.decrementAndGet();
        }
    }

    /**
     * Writes each change to a watch, and a heartbeat line if there is none for HEARTBEAT_MILLIS.
     */
    private void writeChanges(int gateway, TricklingOutput out, long from, long connectedAt)
            throws IOException, InterruptedException {
        long revision = from;
        long lastLine = System.nanoTime();
        while (true) {
            Thread.sleep(POLL_INTERVAL_MILLIS);
            if (watchesSilent) {
                continue;
            }
            long next = endpoints.revision();
            if (next > revision) {
                DiscoveryBehaviour current = behaviour;
                out.writeChunk(
                        endpoints.json(revision, current.indented()), current.trickleMillis());
                recordWritten(gateway, next, connectedAt);
                revision = next;
                lastLine = System.nanoTime();
            } else if (System.nanoTime() - lastLine
                    > TimeUnit.MILLISECONDS.toNanos(HEARTBEAT_MILLIS)) {
                out.writeChunk("\n", 0);
                lastLine = System.nanoTime();
            }
        }
    }

    private synchronized void recordWritten(int gateway, long revision, long connectedAt) {
        written.add(new WrittenList(System.nanoTime(), gateway, revision, connectedAt));
    }

    @Override
    public void close() {
        closed = true;
        listeners.values().forEach(BackgroundTasks::close);
        backlogFillers.values().forEach(sockets -> sockets.forEach(BackgroundTasks::close));
        connections.forEach(BackgroundTasks::close);
    }
}
