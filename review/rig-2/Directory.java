import java.io.DataInputStream;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A directory by docs/protocols.md ('Directory protocol'): keeps the list of nodes and one holder
 * for each extent, claimed once. Sound; it has no faults.
 */
final class Directory implements AutoCloseable {
    private static final int HELLO = 1;
    private static final int SUBSCRIBE = 2;
    private static final int FETCH = 3;
    private static final int LOOKUP = 4;
    private static final int CLAIM = 5;
    private static final int REGISTER = 6;
    private static final int LIST = 17;
    private static final int HOLDERS = 18;
    private static final int HOLDER = 19;
    private static final int GONE = 0;

    private record Line(int node, int cell, int zone, int kind, int standing, long start, float weight, int port, String host) {}

    private final Record record;
    private final long history;
    private final ServerSocket listener;
    private final Map<Integer, Line> lines = new LinkedHashMap<>();
    private final Map<String, Integer> holders = new HashMap<>();
    private final List<Socket> sockets = new ArrayList<>();
    private final List<Socket> subscribers = new ArrayList<>();
    private long version;
    private volatile boolean quiet;

    /** Listens on a free port of loopback, or on the given one. */
    Directory(Record record, long history, int port) throws IOException {
        this.record = record;
        this.history = history;
        listener = Rig.listen(port);
        Rig.thread("directory", this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Leaves look-ups out of the record from now on. */
    void quiet() {
        quiet = true;
    }

    synchronized int nodes() {
        return (int) lines.values().stream().filter(line -> line.standing() != GONE).count();
    }

    /** Returns the cell that holds an extent, or -1. */
    synchronized int holder(int volume, long extent) {
        return holders.getOrDefault(volume + "/" + extent, -1);
    }

    /** Lists a node that does not register by itself, or changes its line. */
    void put(int node, int cell, int standing, long start, int port) {
        update(new Line(node, cell, 0, 0, standing, start, 1, port, "127.0.0.1"));
    }

    private synchronized void update(Line line) {
        version++;
        lines.put(line.node(), line);
        record.line("directory: version %d, node %d standing %d", version, line.node(), line.standing());
        for (Socket socket : List.copyOf(subscribers)) {
            try {
                sendList(socket, 0, false, List.of(line));
            } catch (IOException gone) {
                subscribers.remove(socket);
            }
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                synchronized (this) {
                    sockets.add(socket);
                }
                Rig.thread("directory-session", () -> serve(socket));
            }
        } catch (IOException closed) {
            // the directory has stopped
        }
    }

    private void serve(Socket socket) {
        Line registered = null;
        try (socket) {
            DataInputStream in = Rig.input(socket);
            for (Frames.Frame frame = Frames.read(in); frame != null; frame = Frames.read(in)) {
                ByteBuffer head = frame.fields();
                switch (frame.type()) {
                    case HELLO -> {}
                    case SUBSCRIBE, FETCH -> {
                        synchronized (this) {
                            if (frame.type() == SUBSCRIBE) {
                                subscribers.add(socket);
                            }
                            sendList(socket, frame.number(), true, List.copyOf(lines.values()));
                        }
                    }
                    case LOOKUP -> lookUp(socket, frame.number(), head);
                    case CLAIM -> claim(socket, frame.number(), head);
                    case REGISTER -> {
                        registered = line(head);
                        update(registered);
                    }
                    default -> throw new IOException("unexpected message " + frame.type());
                }
            }
        } catch (IOException ended) {
            // the peer has gone
        }
        synchronized (this) {
            subscribers.remove(socket);
            if (registered != null && lines.get(registered.node()) == registered) {
                Line line = registered;
                update(new Line(line.node(), line.cell(), line.zone(), line.kind(), GONE, line.start(), line.weight(), line.port(), line.host()));
            }
        }
    }

    private static Line line(ByteBuffer head) {
        int node = head.getInt();
        int cell = head.getInt();
        int zone = head.getShort();
        int kind = head.getShort();
        int standing = head.get();
        long start = head.getLong();
        float weight = head.getFloat();
        int port = head.getShort() & 0xffff;
        byte[] host = new byte[head.get()];
        head.get(host);
        return new Line(node, cell, zone, kind, standing, start, weight, port, new String(host));
    }

    private void sendList(Socket socket, long call, boolean whole, List<Line> told) throws IOException {
        Frames.Fields fields = new Frames.Fields().u64(version).u8(whole ? 1 : 0).u32(told.size());
        for (Line line : told) {
            fields.u32(line.node()).u32(line.cell()).u16(line.zone()).u16(line.kind()).u8(line.standing());
            fields.u64(line.start()).f32(line.weight()).u16(line.port()).text(line.host());
        }
        Frames.write(socket, LIST, call, fields.u64(history).text("").bytes(), new byte[0]);
    }

    private synchronized void lookUp(Socket socket, long call, ByteBuffer head) throws IOException {
        int volume = head.getInt();
        long first = head.getLong();
        int count = head.getInt();
        Frames.Fields fields = new Frames.Fields().u32(count);
        for (int i = 0; i < count; i++) {
            fields.u32(holder(volume, first + i));
        }
        if (count == 1 && !quiet) {
            record.line("directory: look-up of extent %d: cell %d", first, holder(volume, first));
        }
        Frames.write(socket, HOLDERS, call, fields.bytes(), new byte[0]);
    }

    private synchronized void claim(Socket socket, long call, ByteBuffer head) throws IOException {
        int volume = head.getInt();
        long extent = head.getLong();
        int cell = head.getInt();
        holders.putIfAbsent(volume + "/" + extent, cell);
        int holder = holder(volume, extent);
        record.line("directory: claim of extent %d for cell %d: cell %d", extent, cell, holder);
        Frames.write(socket, HOLDER, call, new Frames.Fields().u32(holder).bytes(), new byte[0]);
    }

    @Override
    public void close() throws IOException {
        listener.close();
        List<Socket> open;
        synchronized (this) {
            open = List.copyOf(sockets);
        }
        for (Socket socket : open) {
            socket.close();
        }
    }
}
