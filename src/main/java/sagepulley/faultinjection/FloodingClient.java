package sagepulley.faultinjection;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A client that sends commands on one connection as fast as the gateway takes them. It connects
 * again when its connection ends.
 */
final class FloodingClient implements Closeable {
    /** What the client sends. */
    enum Kind {
        PING,
        UNKNOWN_COMMAND,
        /** A read whose fields are not valid. */
        INVALID_FIELDS,
        /** Bytes that are no command; each end the connection. */
        PROTOCOL_ERROR,
        /** Reads of ever new volumes, extents and ids, with little time left. */
        NEW_NAMES,
        /** Reads of one volume. */
        READS,
        /** Writes of the largest value. */
        LARGE_WRITES,
        /** One PING on each connection. */
        SHORT_CONNECTIONS
    }

    private static final int CHUNK_BYTES = 65_536;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long RECONNECT_DELAY_MILLIS = 1;
    private static final int MAX_VALUE_BYTES = 65_536;
    private static final String SHORT_DEADLINE_MILLIS = "30";
    private static final String LONG_DEADLINE_MILLIS = "1500";

    /** Ids and names in floods begin here, so that they differ from those of other clients. */
    private static final AtomicLong NEXT_NAME = new AtomicLong(1L << 48);

    private final Kind kind;
    private final InetSocketAddress gateway;
    private final int shards;
    private final boolean readsReplies;
    private volatile boolean stopped;
    private volatile Socket socket;

    /** Starts to send to a gateway, which serves the given number of shards. */
    FloodingClient(Kind kind, InetSocketAddress gateway, int shards, boolean readsReplies) {
        this.kind = kind;
        this.gateway = gateway;
        this.shards = shards;
        this.readsReplies = readsReplies;
        BackgroundTasks.run("flood", this::run);
    }

    private void run() throws InterruptedException {
        while (!stopped) {
            try (Socket connection = new Socket()) {
                socket = connection;
                connection.connect(gateway, CONNECT_TIMEOUT_MILLIS);
                flood(connection);
            } catch (IOException ended) {
                Thread.sleep(RECONNECT_DELAY_MILLIS);
            }
        }
    }

    private void flood(Socket connection) throws IOException {
        OutputStream out = connection.getOutputStream();
        if (kind == Kind.SHORT_CONNECTIONS) {
            out.write(bytes(RespPeer.command("PING")));
            return;
        }
        if (readsReplies) {
            BackgroundTasks.run("flood-replies", () -> readAll(connection.getInputStream()));
        }
        byte[] chunk = chunk();
        while (!stopped) {
            out.write(isEachDifferent() ? chunk() : chunk);
        }
    }

    private boolean isEachDifferent() {
        return kind == Kind.NEW_NAMES || kind == Kind.READS || kind == Kind.LARGE_WRITES;
    }

    private static void readAll(InputStream in) throws IOException {
        byte[] buffer = new byte[CHUNK_BYTES];
        while (in.read(buffer) >= 0) {
            continue;
        }
    }

    private byte[] chunk() {
        StringBuilder text = new StringBuilder(2 * CHUNK_BYTES);
        while (text.length() < CHUNK_BYTES) {
            text.append(command());
        }
        return bytes(text.toString());
    }

    private String command() {
        return switch (kind) {
            case PING, SHORT_CONNECTIONS -> RespPeer.command("PING");
            case UNKNOWN_COMMAND -> RespPeer.command("HELLO", "3");
            case INVALID_FIELDS -> RespPeer.command("BLK.READ", name(1), name(2), "c=get,t=any");
            case PROTOCOL_ERROR -> "GET / HTTP/1.1\r\n\r\n";
            case NEW_NAMES -> read(NEXT_NAME.incrementAndGet(), SHORT_DEADLINE_MILLIS);
            case READS -> read(1, LONG_DEADLINE_MILLIS);
            case LARGE_WRITES ->
                    RespPeer.command(
                            "BLK.WRITE",
                            name(1),
                            name(NEXT_NAME.incrementAndGet()),
                            fields("put", 1, LONG_DEADLINE_MILLIS),
                            "w".repeat(MAX_VALUE_BYTES));
        };
    }

    private String read(long volume, String deadlineMillis) {
        long id = NEXT_NAME.incrementAndGet();
        return RespPeer.command(
                "BLK.READ", name(id), name(id), fields("get", volume, deadlineMillis));
    }

    private String fields(String trafficClass, long volume, String deadlineMillis) {
        return "c="
                + trafficClass
                + ",t=any,d="
                + deadlineMillis
                + ",volume="
                + name(volume)
                + ",units=1,shard="
                + volume % shards
                + ",hosts=1";
    }

    private static String name(long number) {
        String digits = Long.toHexString(number);
        return "0".repeat(16 - digits.length()) + digits;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() {
        stopped = true;
        Socket last = socket;
        if (last != null) {
            BackgroundTasks.reset(last);
        }
    }
}
