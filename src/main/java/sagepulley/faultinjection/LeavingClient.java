package sagepulley.faultinjection;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** A client that sends many reads at once and closes its connection before they are answered. */
final class LeavingClient implements Closeable {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int BUFFER_BYTES = 65_536;
    private static final AtomicLong NEXT_ID = new AtomicLong(1L << 52);

    private final Socket socket = new Socket();
    private final Set<String> ids = ConcurrentHashMap.newKeySet();
    private volatile long closedAt = Long.MAX_VALUE;

    /** Connects to a gateway and sends the reads in the background. */
    LeavingClient(InetSocketAddress gateway, int reads, int shards, long deadlineMillis)
            throws IOException {
        socket.connect(gateway, CONNECT_TIMEOUT_MILLIS);
        StringBuilder commands = new StringBuilder();
        for (int i = 0; i < reads; i++) {
            String id = String.format("%016x", NEXT_ID.incrementAndGet());
            ids.add(id);
            int shard = i % shards;
            commands.append(
                    RespPeer.command(
                            "BLK.READ",
                            id,
                            id,
                            "c=get,t=any,d="
                                    + deadlineMillis
                                    + ",volume=0000000000000001,units=1,shard="
                                    + shard
                                    + ",hosts=1"));
        }
        byte[] bytes = commands.toString().getBytes(StandardCharsets.US_ASCII);
        BackgroundTasks.run("leaving-replies", () -> readAll(socket.getInputStream()));
        BackgroundTasks.run("leaving", () -> socket.getOutputStream().write(bytes));
    }

    private static void readAll(InputStream in) throws IOException {
        byte[] buffer = new byte[BUFFER_BYTES];
        while (in.read(buffer) >= 0) {
            continue;
        }
    }

    /** Returns whether a command that reached a store was sent by this client. */
    boolean sent(String requestId) {
        return ids.contains(requestId);
    }

    /** Returns the time of the close as System.nanoTime. */
    long closedAt() {
        return closedAt;
    }

    /** Closes the connection; what is not sent yet goes out before the FIN. */
    @Override
    public void close() {
        closedAt = System.nanoTime();
        BackgroundTasks.close(socket);
    }
}
