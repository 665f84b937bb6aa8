import java.io.DataInputStream;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * A storage node by docs/protocols.md ('Store protocol', 'Write tokens'): work begins in the order in
 * which it came and has its effect when it begins; one answer for each attempt; write tokens; a
 * flush makes durable what was written before it began. Written data is volatile until a flush or a
 * durable write: {@link #failPower} loses the rest. Operations of a deduplicated band are not run
 * again while the node remembers their mark.
 */
final class Store implements AutoCloseable {
    static final int READ = 0;
    static final int WRITE = 1;
    static final int FLUSH = 4;

    private static final int HELLO = 1;
    private static final int SEND = 2;
    private static final int CALL_OFF = 3;
    private static final int PROBE = 4;
    private static final int TAKE_PEN = 5;
    private static final int WELCOME = 17;
    private static final int ANSWER = 18;
    private static final int PROBED = 19;
    private static final int PEN = 20;
    private static final int PEN_LOST = 21;
    private static final int SERVED = 0;
    private static final int FAILED = 1;
    private static final int NOT_EXECUTED = 4;
    private static final int STALE = 5;
    private static final int DEDUPLICATED = 1;
    private static final long PEN_MILLIS = 5;
    private static final String[] KINDS = {"read", "write", "zero", "trim", "flush"};

    /** What the node does with an attempt: how long it works, and whether it ever answers. */
    record Work(double millis, boolean answers) {}

    /** An attempt as it came. */
    record Sent(int kind, boolean durable, int repeats, long mark, int attempt, int volume, long extent, int offset, int length, long since, boolean mustExist, byte[] data) {}

    private final class Session {
        final Socket socket;
        long gateway;

        Session(Socket socket) {
            this.socket = socket;
        }

        void send(int type, long number, byte[] head, byte[] payload) {
            try {
                Frames.write(socket, type, number, head, payload);
            } catch (IOException gone) {
                // the gateway has gone
            }
        }
    }

    private static final class Pen {
        Session holder;
        long since;
    }

    private final Record record;
    private final int node;
    private final int extentBytes;
    private final Function<Sent, Work> work;
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2, task -> {
        Thread thread = new Thread(task, "store-timer");
        thread.setDaemon(true);
        return thread;
    });
    private final Map<String, byte[]> current = new HashMap<>();
    private final Map<String, byte[]> durable = new HashMap<>();
    private final Map<String, String> unflushed = new LinkedHashMap<>();
    private final Map<String, Pen> pens = new HashMap<>();
    private final Map<String, Integer> executions = new LinkedHashMap<>();
    private final Map<String, Integer> applied = new HashMap<>();
    private final Map<String, Double> ranAt = new HashMap<>();
    private final List<Session> sessions = new ArrayList<>();
    private ServerSocket listener;
    private int port;
    private long startedAt;
    private boolean lost;

    /** How long the node knows the mark of a deduplicated operation that it has run. */
    private double markMillis = Double.POSITIVE_INFINITY;

    /** How long the next connections take to come up. */
    private volatile long welcomeMillis;

    Store(Record record, int node, int extentBytes, Function<Sent, Work> work) throws IOException {
        this.record = record;
        this.node = node;
        this.extentBytes = extentBytes;
        this.work = work;
        listen();
    }

    int port() {
        return port;
    }

    long startedAt() {
        return startedAt;
    }

    /** Sets how long the node knows the mark of an operation that it has run. */
    synchronized void remember(double millis) {
        markMillis = millis;
    }

    /** Resets all connections; those that follow come up later by the given time. */
    synchronized void resetConnections(long laterMillis) throws IOException {
        record.line("node %d: connections reset, the next one comes up %d ms later", node, laterMillis);
        welcomeMillis = laterMillis;
        for (Session session : List.copyOf(sessions)) {
            session.socket.setSoLinger(true, 0);
            session.socket.close();
        }
        sessions.clear();
    }

    /** Returns how often the effect of a write was applied, by its mark. */
    synchronized Map<String, Integer> executions() {
        return new LinkedHashMap<>(executions);
    }

    /** Returns how often exactly these bytes were written to a range of an extent. */
    synchronized int applied(int volume, long extent, int offset, byte[] data) {
        return applied.getOrDefault(volume + "/" + extent + "+" + offset + "=" + Arrays.hashCode(data), 0);
    }

    /** Goes down as a killed process does: connections are reset, new ones refused. Keeps its data. */
    synchronized void down() throws IOException {
        record.line("node %d: down", node);
        listener.close();
        resetConnections(0);
        pens.clear();
    }

    /** Comes back at the same address. */
    synchronized void up() throws IOException {
        startedAt = System.currentTimeMillis();
        listen();
        record.line("node %d: up", node);
    }

    /** Returns the writes that were answered as served and are not durable now. */
    synchronized List<String> notDurable() {
        return List.copyOf(unflushed.values());
    }

    private void listen() throws IOException {
        listener = Rig.listen(port);
        port = listener.getLocalPort();
        ServerSocket accepting = listener;
        Rig.thread("store-" + node, () -> accept(accepting));
    }

    /** Loses what is not durable, and comes back with a new start. */
    synchronized void failPower() throws IOException {
        record.line("node %d: power failure, %d writes were not durable", node, unflushed.size());
        listener.close();
        for (Session session : List.copyOf(sessions)) {
            session.socket.close();
        }
        sessions.clear();
        pens.clear();
        lost |= !unflushed.isEmpty();
        unflushed.clear();
        current.clear();
        durable.forEach((key, data) -> current.put(key, data.clone()));
        startedAt = System.currentTimeMillis();
        listen();
    }

    private void accept(ServerSocket accepting) {
        try {
            while (true) {
                Socket socket = accepting.accept();
                socket.setTcpNoDelay(true);
                Session session = new Session(socket);
                synchronized (this) {
                    sessions.add(session);
                }
                Rig.thread("store-session", () -> serve(session));
            }
        } catch (IOException closed) {
            // the node is down
        }
    }

    private void serve(Session session) {
        try (Socket socket = session.socket) {
            Rig.sleep(welcomeMillis);
            welcomeMillis = 0;
            DataInputStream in = Rig.input(socket);
            for (Frames.Frame frame = Frames.read(in); frame != null; frame = Frames.read(in)) {
                ByteBuffer head = frame.fields();
                switch (frame.type()) {
                    case HELLO -> hello(session, head);
                    case SEND -> begin(session, frame);
                    case CALL_OFF -> record.line("node %d: attempt %d called off", node, frame.number());
                    case PROBE -> session.send(PROBED, frame.number(), new Frames.Fields().u8(1).f32(0).bytes(), new byte[0]);
                    case TAKE_PEN -> takePen(session, frame.number(), head.getInt() + "/" + head.getLong(), frame.head());
                    default -> throw new IOException("unexpected message " + frame.type());
                }
            }
        } catch (IOException ended) {
            // the gateway has gone
        }
        synchronized (this) {
            sessions.remove(session);
            pens.values().removeIf(pen -> pen.holder == session);
        }
    }

    private synchronized void hello(Session session, ByteBuffer head) throws IOException {
        head.getShort();
        session.gateway = head.getLong();
        for (Session older : List.copyOf(sessions)) {
            if (older != session && older.gateway == session.gateway) {
                older.socket.close();
                sessions.remove(older);
            }
        }
        record.line("node %d: gateway %x connected", node, session.gateway);
        session.send(WELCOME, 0, new Frames.Fields().u32(node).u32(node).u16(0).u16(0).u8(0).u64(startedAt).bytes(), new byte[0]);
    }

    private synchronized void takePen(Session session, long number, String extent, byte[] fields) {
        Pen pen = pens.computeIfAbsent(extent, any -> new Pen());
        boolean held = pen.holder != null && pen.holder != session && sessions.contains(pen.holder);
        long heldMillis = (System.nanoTime() - pen.since) / 1_000_000;
        if (held && heldMillis < PEN_MILLIS) {
            timer.schedule(() -> takePen(session, number, extent, fields), PEN_MILLIS - heldMillis, TimeUnit.MILLISECONDS);
            return;
        }
        if (held) {
            pen.holder.send(PEN_LOST, 0, fields, new byte[0]);
        }
        pen.holder = session;
        pen.since = System.nanoTime();
        session.send(PEN, number, fields, new byte[0]);
    }

    private static Sent sent(Frames.Frame frame) {
        ByteBuffer head = frame.fields();
        int kind = head.get();
        head.get();
        int flags = head.get();
        int repeats = head.get();
        long mark = head.getLong();
        int attempt = head.get();
        int volume = head.getInt();
        long extent = head.getLong();
        int offset = head.getInt();
        int length = head.getInt();
        head.getFloat();
        return new Sent(kind, (flags & 1) != 0, repeats, mark, attempt, volume, extent, offset, length, head.getLong(), (flags & 2) != 0, frame.payload());
    }

    private synchronized void begin(Session session, Frames.Frame frame) {
        if (!sessions.contains(session)) {
            return;
        }
        Sent sent = sent(frame);
        String key = sent.volume() + "/" + sent.extent();
        int code = SERVED;
        byte[] result = new byte[0];
        boolean modifies = sent.kind() >= WRITE && sent.kind() < FLUSH;
        if (sent.mustExist() && !current.containsKey(key)) {
            code = NOT_EXECUTED;
        } else if (modifies && (pens.get(key) == null || pens.get(key).holder != session)) {
            code = STALE;
        } else if (sent.kind() == READ) {
            byte[] data = current.getOrDefault(key, new byte[extentBytes]);
            result = Arrays.copyOfRange(data, sent.offset(), sent.offset() + sent.length());
        } else if (modifies) {
            modify(session, sent, key);
        } else if (lost && sent.since() != startedAt) {
            code = FAILED;
        } else {
            unflushed.keySet().removeIf(write -> write.startsWith(sent.volume() + "/"));
            current.forEach((extent, data) -> durable.put(extent, data.clone()));
        }
        Work planned = work.apply(sent);
        record.line("node %d: attempt %d (%s, mark %d, try %d, extent %d, offset %d) begins: code %d, works %.0f ms%s", node, frame.number(), KINDS[sent.kind()], sent.mark(), sent.attempt(), sent.extent(), sent.offset(), code, planned.millis(), planned.answers() ? "" : ", will not answer");
        if (!planned.answers()) {
            return;
        }
        int outcome = code;
        byte[] payload = result;
        timer.schedule(() -> answer(session, frame.number(), outcome, payload), (long) (planned.millis() * 1000), TimeUnit.MICROSECONDS);
    }

    private void modify(Session session, Sent sent, String key) {
        String mark = session.gateway + "/" + sent.mark();
        int before = executions.getOrDefault(mark, 0);
        if (sent.repeats() == DEDUPLICATED && before > 0 && record.millis() - ranAt.get(mark) <= markMillis) {
            record.line("node %d: mark %d is known, not run again", node, sent.mark());
            return;
        }
        if (before > 0) {
            record.line("node %d: mark %d runs again, %.0f ms after it ran", node, sent.mark(), record.millis() - ranAt.get(mark));
        }
        executions.put(mark, before + 1);
        ranAt.putIfAbsent(mark, record.millis());
        byte[] data = current.computeIfAbsent(key, any -> new byte[extentBytes]);
        byte[] written = sent.kind() == WRITE ? sent.data() : new byte[sent.length()];
        applied.merge(key + "+" + sent.offset() + "=" + Arrays.hashCode(written), 1, Integer::sum);
        System.arraycopy(written, 0, data, sent.offset(), sent.length());
        if (sent.durable()) {
            byte[] kept = durable.computeIfAbsent(key, any -> new byte[extentBytes]);
            System.arraycopy(written, 0, kept, sent.offset(), sent.length());
        } else {
            unflushed.put(key + "+" + sent.offset(), "extent " + sent.extent() + " offset " + sent.offset());
        }
    }

    private void answer(Session session, long number, int code, byte[] payload) {
        try {
            byte[] head = new Frames.Fields().u8(code).u16(0).f32(0).f32(0).f32(1).u8(0).bytes();
            record.line("node %d: attempt %d answered, code %d", node, number, code);
            session.send(ANSWER, number, head, payload);
        } catch (IOException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    @Override
    public void close() throws IOException {
        timer.shutdownNow();
        listener.close();
        List<Session> open;
        synchronized (this) {
            open = List.copyOf(sessions);
        }
        for (Session session : open) {
            session.socket.close();
        }
    }
}
