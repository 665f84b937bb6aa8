import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** An NBD client, with structured replies or simple ones, that may have many requests in flight. */
final class NbdClient implements AutoCloseable {
    static final int READ = 0;
    static final int WRITE = 1;
    static final int FLUSH = 3;
    static final int TRIM = 4;
    static final int WRITE_ZEROES = 6;

    private static final long IHAVEOPT = 0x49484156454f5054L;
    private static final int OPT_GO = 7;
    private static final int OPT_STRUCTURED_REPLY = 8;
    private static final int REP_ACK = 1;

    /** The final answer to a request: an error number (0: served), its sentence, and a read's data. */
    record Reply(int error, String text, byte[] data) {}

    /** A request in flight. */
    final class Request {
        final int command;
        final long offset;
        final byte[] data;
        final CompletableFuture<Reply> reply = new CompletableFuture<>();
        int error;
        String text = "";

        Request(int command, long offset, int length) {
            this.command = command;
            this.offset = offset;
            this.data = new byte[length];
        }

        /** Waits for the final answer; null if it did not come in time or the connection ended. */
        Reply await(long millis) throws InterruptedException {
            try {
                return reply.get(millis, TimeUnit.MILLISECONDS);
            } catch (TimeoutException | java.util.concurrent.ExecutionException none) {
                return null;
            }
        }
    }

    private final Record record;
    private final String name;
    private final Socket socket;
    private final DataInputStream in;
    private final DataOutputStream out;
    private final Map<Long, Request> requests = new LinkedHashMap<>();
    private final double bytesPerMilli;
    private ByteArrayOutputStream held;
    private long lastCookie;
    private volatile long received;
    private volatile String end;

    NbdClient(Record record, String name, int port, String export) throws IOException {
        this(record, name, port, export, true, Double.POSITIVE_INFINITY);
    }

    /**
     * Connects.
     *
     * @param structured whether structured replies are asked for
     * @param bytesPerMilli how many bytes of replies to reads are taken in a millisecond
     */
    NbdClient(
            Record record,
            String name,
            int port,
            String export,
            boolean structured,
            double bytesPerMilli)
            throws IOException {
        this.record = record;
        this.name = name;
        this.bytesPerMilli = bytesPerMilli;
        socket = new Socket(InetAddress.getByName("127.0.0.1"), port);
        socket.setTcpNoDelay(true);
        in = new DataInputStream(socket.getInputStream());
        out = new DataOutputStream(socket.getOutputStream());
        in.readLong();
        in.readLong();
        in.readShort();
        out.writeInt(3);
        if (structured) {
            option(OPT_STRUCTURED_REPLY, new byte[0]);
        }
        byte[] text = export.getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream data = new ByteArrayOutputStream();
        DataOutputStream fields = new DataOutputStream(data);
        fields.writeInt(text.length);
        fields.write(text);
        fields.writeShort(0);
        option(OPT_GO, data.toByteArray());
        Rig.thread("nbd-" + name, this::receive);
    }

    private void option(int code, byte[] data) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream fields = new DataOutputStream(bytes);
        fields.writeLong(IHAVEOPT);
        fields.writeInt(code);
        fields.writeInt(data.length);
        fields.write(data);
        out.write(bytes.toByteArray());
        int type;
        do {
            in.readLong();
            in.readInt();
            type = in.readInt();
            in.readFully(new byte[in.readInt()]);
            if (type < 0) {
                throw new IOException("option " + code + " refused: " + Integer.toHexString(type));
            }
        } while (type != REP_ACK);
    }

    Request read(long offset, int length) throws IOException {
        return send(READ, offset, length, new byte[0]);
    }

    Request write(long offset, byte[] data) throws IOException {
        return send(WRITE, offset, data.length, data);
    }

    /** Trims a range; its length is unsigned. */
    Request trim(long offset, int length) throws IOException {
        return send(TRIM, offset, length, new byte[0]);
    }

    Request writeZeroes(long offset, int length) throws IOException {
        return send(WRITE_ZEROES, offset, length, new byte[0]);
    }

    Request flush() throws IOException {
        return send(FLUSH, 0, 0, new byte[0]);
    }

    /** Keeps what follows until {@link #sendHeld}, so that it goes out in one write. */
    void hold() {
        held = new ByteArrayOutputStream();
    }

    /** Sends what was kept. */
    void sendHeld() throws IOException {
        byte[] bytes = held.toByteArray();
        held = null;
        out.write(bytes);
    }

    private Request send(int command, long offset, int length, byte[] data) throws IOException {
        Request request = new Request(command, offset, command == READ ? length : 0);
        long cookie;
        synchronized (requests) {
            if (end != null) {
                throw new IOException(end);
            }
            cookie = ++lastCookie;
            requests.put(cookie, request);
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(28 + data.length);
        DataOutputStream fields = new DataOutputStream(bytes);
        fields.writeInt(0x25609513);
        fields.writeShort(0);
        fields.writeShort(command);
        fields.writeLong(cookie);
        fields.writeLong(offset);
        fields.writeInt(length);
        fields.write(data);
        record.line("client %s: request %d, %s at %d, %s bytes", name, cookie, kind(command), offset, Integer.toUnsignedString(length));
        if (held == null) {
            out.write(bytes.toByteArray());
        } else {
            held.write(bytes.toByteArray());
        }
        return request;
    }

    private static String kind(int command) {
        return switch (command) {
            case READ -> "read";
            case WRITE -> "write";
            case TRIM -> "trim";
            case WRITE_ZEROES -> "write zeroes";
            default -> "flush";
        };
    }

    /** Returns the bytes of reads that have come so far. */
    long received() {
        return received;
    }

    /** Returns why the connection ended; null while it stands. */
    String end() {
        return end;
    }

    private void receive() {
        String why = "the gateway closed the connection";
        try {
            while (true) {
                int magic = in.readInt();
                boolean simple = magic == 0x67446698;
                if (!simple && magic != 0x668e33ef) {
                    throw new IOException("unexpected magic " + Integer.toHexString(magic));
                }
                int error = simple ? in.readInt() : 0;
                int flags = simple ? 1 : in.readShort();
                int type = simple ? 0 : in.readShort() & 0xffff;
                long cookie = in.readLong();
                int length = simple ? 0 : in.readInt();
                Request request;
                synchronized (requests) {
                    request = requests.get(cookie);
                }
                if (request == null) {
                    throw new IOException("reply to request " + cookie + ", which is not in flight");
                }
                if (simple) {
                    request.error = error;
                    in.readFully(request.data, 0, error == 0 ? request.data.length : 0);
                } else {
                    chunk(request, type, length);
                }
                if ((flags & 1) != 0) {
                    synchronized (requests) {
                        requests.remove(cookie);
                    }
                    record.line("client %s: request %d answered, error %d %s", name, cookie, request.error, request.text);
                    request.reply.complete(new Reply(request.error, request.text, request.data));
                }
            }
        } catch (java.io.EOFException ended) {
            // the message stands above
        } catch (IOException failed) {
            why = String.valueOf(failed.getMessage());
        }
        synchronized (requests) {
            end = why;
            record.line("client %s: connection ended (%s) with %d requests unanswered", name, why, requests.size());
            requests.values().forEach(request -> request.reply.completeExceptionally(new IOException(end)));
        }
    }

    private void chunk(Request request, int type, int length) throws IOException {
        switch (type) {
            case 0 -> in.readFully(new byte[length]);
            case 1 -> {
                int at = (int) (in.readLong() - request.offset);
                int remaining = length - Long.BYTES;
                while (remaining > 0) {
                    int part = (int) Math.min(remaining, Math.max(1, Math.min(1 << 20, bytesPerMilli * 10)));
                    in.readFully(request.data, at, part);
                    at += part;
                    remaining -= part;
                    received += part;
                    if (bytesPerMilli < Double.POSITIVE_INFINITY) {
                        Rig.sleep(Math.max(1, Math.round(part / bytesPerMilli)));
                    }
                }
            }
            case 2 -> {
                in.readLong();
                in.readInt();
            }
            default -> {
                if (type < 0x8000) {
                    throw new IOException("unexpected chunk type " + type);
                }
                int error = in.readInt();
                byte[] text = new byte[in.readUnsignedShort()];
                in.readFully(text);
                in.readFully(new byte[length - 6 - text.length]);
                request.error = request.error == 0 ? error : request.error;
                request.text = new String(text, StandardCharsets.UTF_8);
            }
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
