package sagepulley.faultinjection;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A discovery service on loopback that misbehaves on demand. Each gateway has a port of its own, so
 * that what was written to whom is known. All times are System.nanoTime.
 */
final class DiscoveryServer implements Closeable {
    private static final Pattern WATCH =
            Pattern.compile("GET /v1/endpoints\\?watch=1&after=(-?\\d+) .*");
    private static final long HEARTBEAT_MILLIS = 2_000;
    private static final long POLL_INTERVAL_MILLIS = 10;
    private static final int BACKLOG = 200;

    /** A backlog of one is full with two connections that nobody accepts. */
    private static final int FULL_BACKLOG = 1;

    private static final int FILLER_CONNECTIONS = 2;

    /** A former address closes the connections that it has so long after the move. */
    private static final long FORMER_ADDRESS_MILLIS = 1_500;

    private enum Reachability {
        REACHABLE,
        DOWN,
        CUT_OFF
    }

    /** How calls are answered from now on. */
    record Behaviour(
            long firstByteDelayMs,
            long trickleMs,
            long serviceMs,
            long queueTimeoutMs,
            int queueLimit,
            boolean silent,
            boolean rejecting,
            boolean indented) {
        static final Behaviour HEALTHY =
                new Behaviour(0, 0, 0, 2_000, Integer.MAX_VALUE, false, false, false);

        Behaviour firstByteAfter(long ms) {
            return new Behaviour(
                    ms,
                    trickleMs,
                    serviceMs,
                    queueTimeoutMs,
                    queueLimit,
                    silent,
                    rejecting,
                    indented);
        }

        Behaviour tricklingFor(long ms) {
            return new Behaviour(
                    firstByteDelayMs,
                    ms,
                    serviceMs,
                    queueTimeoutMs,
                    queueLimit,
                    silent,
                    rejecting,
                    indented);
        }

        /**
         * Calls are served one at a time; one that has waited for too long, or finds too many
         * waiting, gets 503.
         */
        Behaviour inTurn(long service, long timeout, int limit) {
            return new Behaviour(
                    firstByteDelayMs,
                    trickleMs,
                    service,
                    timeout,
                    limit,
                    silent,
                    rejecting,
                    indented);
        }

        Behaviour saysNothing() {
            return new Behaviour(
                    firstByteDelayMs,
                    trickleMs,
                    serviceMs,
                    queueTimeoutMs,
                    queueLimit,
                    true,
                    rejecting,
                    indented);
        }

        Behaviour rejectsAll() {
            return new Behaviour(
                    firstByteDelayMs,
                    trickleMs,
                    serviceMs,
                    queueTimeoutMs,
                    queueLimit,
                    silent,
                    true,
                    indented);
        }

        Behaviour withWhiteSpace() {
            return new Behaviour(
                    firstByteDelayMs,
                    trickleMs,
                    serviceMs,
                    queueTimeoutMs,
                    queueLimit,
                    silent,
                    rejecting,
                    true);
        }
    }

    /** An endpoint's state from a time on. */
    record Change(long at, long revision, Endpoint endpoint) {}

    /**
     * That a gateway was written all up to a revision, whole, at a time, on a connection made at
     * another.
     */
    record WrittenList(long at, int gateway, long revision, long connectedAt) {}

    private final Map<Integer, ServerSocket> listeners = new ConcurrentHashMap<>();
    private final Map<Integer, Integer> ports = new ConcurrentHashMap<>();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private Reachability reachability = Reachability.REACHABLE;
    private final Map<Integer, List<Socket>> fillers = new ConcurrentHashMap<>();
    private final TreeMap<Long, Change> changes = new TreeMap<>();
    private final List<WrittenList> written = new ArrayList<>();

    /** Pairs of times: from when to when nobody could reach it. The last is open while it lasts. */
    private final List<long[]> outages = new ArrayList<>();

    private final Semaphore turn = new Semaphore(1, true);
    private final AtomicInteger waiting = new AtomicInteger();
    final AtomicInteger calls = new AtomicInteger();
    final AtomicInteger refusals = new AtomicInteger();
    volatile Behaviour behaviour = Behaviour.HEALTHY;

    /** Watches that stand say nothing while this is set: neither changes nor empty lines. */
    volatile boolean watchesSilent;

    private volatile boolean closed;

    /** An address for one gateway, which is listened at while discovery can be reached. */
    synchronized InetSocketAddress listenFor(int gateway) throws IOException {
        int port = Ports.free().getPort();
        ports.put(gateway, port);
        switch (reachability) {
            case REACHABLE -> bind(gateway, port);
            case DOWN -> {}
            case CUT_OFF -> bindUnreachable(gateway, port);
        }
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    /**
     * Another address for one gateway. The former one accepts nothing more, and soon closes what it
     * has.
     */
    synchronized InetSocketAddress moveFor(int gateway) throws IOException {
        BackgroundTasks.close(listeners.get(gateway));
        fillers.getOrDefault(gateway, List.of()).forEach(BackgroundTasks::reset);
        int former = ports.get(gateway);
        InetSocketAddress fresh = listenFor(gateway);
        BackgroundTasks.run(
                "discovery-move",
                () -> {
                    Thread.sleep(FORMER_ADDRESS_MILLIS);
                    connections.stream()
                            .filter(socket -> socket.getLocalPort() == former)
                            .forEach(BackgroundTasks::close);
                });
        return fresh;
    }

    private void bind(int gateway, int port) throws IOException {
        ServerSocket listener = Ports.listen(port, BACKLOG);
        listeners.put(gateway, listener);
        BackgroundTasks.run("discovery", () -> accept(gateway, listener));
    }

    private void bindUnreachable(int gateway, int port) throws IOException {
        listeners.put(gateway, Ports.listen(port, FULL_BACKLOG));
        List<Socket> filling = new ArrayList<>();
        for (int i = 0; i < FILLER_CONNECTIONS; i++) {
            filling.add(new Socket(InetAddress.getLoopbackAddress(), port));
        }
        fillers.put(gateway, filling);
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

    // ---- what is listed ----

    synchronized long set(Endpoint endpoint) {
        long revision = revision() + 1;
        changes.put(revision, new Change(System.nanoTime(), revision, endpoint));
        return revision;
    }

    synchronized long revision() {
        return changes.isEmpty() ? 0 : changes.lastKey();
    }

    synchronized List<Change> changes() {
        return new ArrayList<>(changes.values());
    }

    synchronized List<WrittenList> written() {
        return new ArrayList<>(written);
    }

    synchronized List<long[]> outages() {
        return new ArrayList<>(outages);
    }

    synchronized Collection<Endpoint> listed() {
        Map<String, Endpoint> latest = new LinkedHashMap<>();
        changes.values().forEach(change -> latest.put(change.endpoint().id(), change.endpoint()));
        latest.values().removeIf(endpoint -> endpoint.state() == Endpoint.State.DELETED);
        return latest.values();
    }

    /** The list in the protocol's form: what changed after a revision, or all of it. */
    synchronized String json(long after) {
        boolean complete = after <= 0 || after > revision();
        Collection<Endpoint> entries = listed();
        if (!complete) {
            Map<String, Endpoint> latest = new LinkedHashMap<>();
            changes.tailMap(after, false)
                    .values()
                    .forEach(change -> latest.put(change.endpoint().id(), change.endpoint()));
            entries = latest.values();
        }
        boolean indented = behaviour.indented();
        StringBuilder text =
                new StringBuilder(
                        "{\"revision\":"
                                + revision()
                                + ",\"complete\":"
                                + complete
                                + ",\"members\":[");
        String separator = "";
        for (Endpoint entry : entries) {
            text.append(separator).append(entry.json(indented));
            separator = indented ? ",\n    " : ",";
        }
        return text.append("]}\n").toString();
    }

    // ---- whether it can be reached ----

    /** Its process has ended: connections are reset, new ones refused. */
    synchronized void goDown() {
        outages.add(new long[] {System.nanoTime(), Long.MAX_VALUE});
        reachability = Reachability.DOWN;
        listeners.values().forEach(BackgroundTasks::close);
        connections.forEach(BackgroundTasks::reset);
    }

    /** It is cut off: connections stay open and silent, new ones never come up. */
    synchronized void cutOff() throws IOException {
        outages.add(new long[] {System.nanoTime(), Long.MAX_VALUE});
        reachability = Reachability.CUT_OFF;
        watchesSilent = true;
        for (Map.Entry<Integer, ServerSocket> each : List.copyOf(listeners.entrySet())) {
            BackgroundTasks.close(each.getValue());
            bindUnreachable(each.getKey(), ports.get(each.getKey()));
        }
    }

    /** It can be reached again; connections that were cut are reset. */
    synchronized void comeBack() throws IOException {
        connections.forEach(BackgroundTasks::reset);
        reachability = Reachability.REACHABLE;
        watchesSilent = false;
        for (Map.Entry<Integer, Integer> each : ports.entrySet()) {
            BackgroundTasks.close(listeners.get(each.getKey()));
            fillers.getOrDefault(each.getKey(), List.of()).forEach(BackgroundTasks::reset);
            bind(each.getKey(), each.getValue());
        }
        fillers.clear();
        outages.get(outages.size() - 1)[1] = System.nanoTime();
    }

    /** Ends all connections that stand, and goes on. */
    void resetAll() {
        connections.forEach(BackgroundTasks::reset);
    }

    // ---- one call ----

    private void answer(int gateway, Socket socket) throws IOException, InterruptedException {
        long connectedAt = System.nanoTime();
        BufferedReader reader =
                new BufferedReader(
                        new InputStreamReader(
                                socket.getInputStream(), StandardCharsets.ISO_8859_1));
        String call = reader.readLine();
        for (String header = reader.readLine(); header != null && !header.isEmpty(); ) {
            header = reader.readLine();
        }
        if (call == null) {
            return;
        }
        calls.incrementAndGet();
        Matcher watch = WATCH.matcher(call);
        boolean watches = watch.matches();
        long after = watches ? Long.parseLong(watch.group(1)) : -1;
        Behaviour now = behaviour;
        if (now.silent()) {
            socket.getInputStream().read();
            return;
        }
        if (now.rejecting() || !waitForTurn(now)) {
            refusals.incrementAndGet();
            write(socket, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", 0);
            return;
        }
        Thread.sleep(now.firstByteDelayMs());
        long revision = revision();
        String list = json(after);
        if (!watches) {
            write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n", 0);
            write(socket, list, now.trickleMs());
            recordWritten(gateway, revision, connectedAt);
            return;
        }
        write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", 0);
        chunk(socket, list, now.trickleMs());
        recordWritten(gateway, revision, connectedAt);
        follow(gateway, socket, revision, connectedAt);
    }

    private boolean waitForTurn(Behaviour now) throws InterruptedException {
        if (now.serviceMs() == 0) {
            return true;
        }
        if (waiting.get() >= now.queueLimit()) {
            return false;
        }
        waiting.incrementAndGet();
        try {
            if (!turn.tryAcquire(now.queueTimeoutMs(), TimeUnit.MILLISECONDS)) {
                return false;
            }
            try {
                Thread.sleep(now.serviceMs());
            } finally {
                turn.release();
            }
            return true;
        } finally {
            waiting.decrementAndGet();
        }
    }

    private void follow(int gateway, Socket socket, long from, long connectedAt)
            throws IOException, InterruptedException {
        long revision = from;
        long lastLine = System.nanoTime();
        while (true) {
            Thread.sleep(POLL_INTERVAL_MILLIS);
            if (watchesSilent) {
                continue;
            }
            if (revision() > revision) {
                long next = revision();
                chunk(socket, json(revision), behaviour.trickleMs());
                recordWritten(gateway, next, connectedAt);
                revision = next;
                lastLine = System.nanoTime();
            } else if (System.nanoTime() - lastLine
                    > TimeUnit.MILLISECONDS.toNanos(HEARTBEAT_MILLIS)) {
                chunk(socket, "\n", 0);
                lastLine = System.nanoTime();
            }
        }
    }

    private synchronized void recordWritten(int gateway, long revision, long connectedAt) {
        written.add(new WrittenList(System.nanoTime(), gateway, revision, connectedAt));
    }

    private static void chunk(Socket socket, String text, long trickleMs)
            throws IOException, InterruptedException {
        write(socket, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n", trickleMs);
    }

    /** Writes it at once, or in pieces spread evenly over a time. */
    private static void write(Socket socket, String text, long trickleMs)
            throws IOException, InterruptedException {
        OutputStream out = socket.getOutputStream();
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        int pieces = (int) Math.max(1, Math.min(bytes.length, trickleMs / 50));
        for (int i = 0; i < pieces; i++) {
            int from = (int) ((long) bytes.length * i / pieces);
            int to = (int) ((long) bytes.length * (i + 1) / pieces);
            if (i > 0) {
                Thread.sleep(trickleMs / pieces);
            }
            out.write(bytes, from, to - from);
            out.flush();
        }
    }

    @Override
    public void close() {
        closed = true;
        listeners.values().forEach(BackgroundTasks::close);
        fillers.values().forEach(sockets -> sockets.forEach(BackgroundTasks::close));
        connections.forEach(BackgroundTasks::close);
    }
}
