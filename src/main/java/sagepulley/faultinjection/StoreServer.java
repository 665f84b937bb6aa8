package sagepulley.faultinjection;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A storage endpoint on loopback that serves every command and records reads and writes. */
final class StoreServer implements Closeable {
    private static final Pattern DEADLINE = Pattern.compile("(?:^|,)d=(\\d+)(?:,|$)");
    private static final int BACKLOG = 500;
    private static final long DEFAULT_WORK_MILLIS = 2;
    private static final long UNRESPONSIVE_POLL_MILLIS = 20;

    /**
     * A command received.
     *
     * @param firstByteAt arrival of the first byte, System.nanoTime
     * @param lastByteAt arrival of the last byte, System.nanoTime
     * @param deadlineMillis time left until the deadline, as the command states it; -1 for none
     */
    record Arrival(
            String endpoint,
            String requestId,
            long firstByteAt,
            long lastByteAt,
            long deadlineMillis) {}

    final String id;
    final int cell;
    final int port;
    final Queue<Arrival> arrivals = new ConcurrentLinkedQueue<>();

    /** Commands are recorded but not answered while this is set. */
    volatile boolean unresponsive;

    /** Time that the store works on a command. */
    volatile long workMillis = DEFAULT_WORK_MILLIS;

    private final ServerSocket listener;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

    /** Starts a store on a free port. */
    StoreServer(String id, int cell) throws IOException {
        this.id = id;
        this.cell = cell;
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        this.port = listener.getLocalPort();
        BackgroundTasks.run("store-" + id, this::accept);
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            connections.add(socket);
            BackgroundTasks.run(
                    "store-call",
                    () -> {
                        try (socket) {
                            serve(new RespPeer(socket));
                        } finally {
                            connections.remove(socket);
                        }
                    });
        }
    }

    /** Returns the store's entry in the endpoint list. */
    Endpoint endpoint(Endpoint.State state, long startedAtWallMillis) {
        return new Endpoint(id, port, cell, state, startedAtWallMillis);
    }

    private void serve(RespPeer peer) throws IOException, InterruptedException {
        for (List<String> arguments = peer.readCommand();
                arguments != null;
                arguments = peer.readCommand()) {
            if (!arguments.get(0).startsWith("BLK.")) {
                peer.send("+PONG\r\n");
                continue;
            }
            Matcher deadline = DEADLINE.matcher(arguments.get(3));
            arrivals.add(
                    new Arrival(
                            id,
                            arguments.get(2),
                            peer.firstByteAt,
                            System.nanoTime(),
                            deadline.find() ? Long.parseLong(deadline.group(1)) : -1));
            while (unresponsive) {
                Thread.sleep(UNRESPONSIVE_POLL_MILLIS);
            }
            Thread.sleep(workMillis);
            peer.send("*3\r\n$16\r\n" + arguments.get(2) + "\r\n$-1\r\n$-1\r\n");
        }
    }

    /** Resets all connections and keeps serving. */
    void resetConnections() {
        connections.forEach(BackgroundTasks::reset);
    }

    @Override
    public void close() {
        BackgroundTasks.close(listener);
        connections.forEach(BackgroundTasks::reset);
    }
}
