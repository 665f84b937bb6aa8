package sagepulley.platform;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Executors;

/**
 * A short run of one gateway against one node and a discovery of its own, on loopback, with a few hundred
 * operations. The build does it once, so that the JVM can write down which classes a start needs.
 */
public final class Rehearsal {
    private static final int OPERATIONS = 300;
    private static final String FIELDS = "c=%s,t=any,d=900,volume=%016x,units=1,shard=%d,hosts=1";

    private Rehearsal() {
    }

    public static void run() throws IOException, ConfigError {
        Path file = Files.createTempFile("rehearsal", ".json");
        try (ServerSocket node = loopback(); ServerSocket discovery = loopback()) {
            int port;
            try (ServerSocket free = loopback()) {
                port = free.getLocalPort();
            }
            try (InputStream in = Rehearsal.class.getResourceAsStream("/rehearsal.json")) {
                Files.writeString(file, new String(in.readAllBytes(), StandardCharsets.UTF_8)
                        .replace("LISTEN", address(port)).replace("DISCOVERY", address(discovery.getLocalPort()))
                        .replace("NODE", address(node.getLocalPort())));
            }
            serve(node, Rehearsal::answerAsNode);
            serve(discovery, Rehearsal::answerAsDiscovery);
            var client = Executors.newSingleThreadExecutor(task -> {
                Thread thread = new Thread(task, "rehearsal");
                thread.setDaemon(true);
                return thread;
            });
            Serve.run(Map.of("GW_CONFIG", file.toString()), gateway -> client.execute(() -> {
                try {
                    ask(port);
                } catch (IOException e) {
                    Log.warn("the rehearsal failed", "why", e.getMessage());
                }
                gateway.stop();
            }));
        } finally {
            Files.deleteIfExists(file);
        }
    }

    private interface Talk {
        void with(BufferedInputStream in, OutputStream out) throws IOException;
    }

    private static ServerSocket loopback() throws IOException {
        return new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    private static String address(int port) {
        return InetAddress.getLoopbackAddress().getHostAddress() + ":" + port;
    }

    /** Answers each connection on a thread of its own, until the socket is closed. */
    private static void serve(ServerSocket server, Talk talk) {
        daemon(() -> {
            while (true) {
                Socket socket = server.accept();
                daemon(() -> {
                    try (socket) {
                        talk.with(new BufferedInputStream(socket.getInputStream()), socket.getOutputStream());
                    }
                });
            }
        });
    }

    private interface Task {
        void run() throws IOException;
    }

    private static void daemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException ended) {
                // The other end, or the server, is closed: that is how each of these ends.
            }
        }, "rehearsal");
        thread.setDaemon(true);
        thread.start();
    }

    private static void answerAsNode(BufferedInputStream in, OutputStream out) throws IOException {
        while (true) {
            int words = Integer.parseInt(line(in).substring(1));
            for (int i = 0; i < words; i++) {
                in.readNBytes(Integer.parseInt(line(in).substring(1)) + 2);
            }
            out.write("*3\r\n$5\r\nvalue\r\n$6\r\ncost=1\r\n$-1\r\n".getBytes(StandardCharsets.US_ASCII));
        }
    }

    private static void answerAsDiscovery(BufferedInputStream in, OutputStream out) throws IOException {
        while (!line(in).isEmpty()) {
            continue;
        }
        out.write(("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                + "32\r\n{\"revision\":2,\"complete\":false,\"members\":[]     }\n\r\n")
                .getBytes(StandardCharsets.US_ASCII));
        in.read();
    }

    /** Reads and writes one after the other, and one command that nobody can take. */
    private static void ask(int port) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (int i = 1; i <= OPERATIONS; i++) {
                boolean writes = i % 3 == 0;
                String fields = FIELDS.formatted(writes ? "put" : "get", i % 7, writes ? -1 : 0);
                String command = bulk(writes ? "BLK.WRITE" : "BLK.READ") + bulk("%016x".formatted(i % 50))
                        + bulk("%016x".formatted(i)) + bulk(fields) + (writes ? bulk("value") : "");
                send(socket, "*" + (writes ? 5 : 4) + "\r\n" + command);
                if (line(in).startsWith("$")) {
                    line(in);
                }
            }
            send(socket, "*1\r\n" + bulk("PING"));
            line(in);
            send(socket, "nonsense\r\n");
            line(in);
        }
    }

    private static String bulk(String text) {
        return "$" + text.length() + "\r\n" + text + "\r\n";
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static String line(BufferedInputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new IOException("the connection ended");
            }
            line.append((char) next);
        }
        return line.toString().trim();
    }
}
