package sagepulley.platform;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

/** A gateway on loopback with one node and a discovery that do as a test's script says. */
final class Peers implements Closeable {
    private static final int PATIENCE_MS = 20_000;
    static final String VALUE = "*3\r\n$5\r\nvalue\r\n$6\r\ncost=1\r\n$-1\r\n";
    private static final String LIST = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    /** What a node does with one command. */
    interface Script {
        void answer(List<String> words, Talk talk) throws IOException;
    }

    /** One connection to a peer. */
    static final class Talk {
        final Socket socket;
        final InputStream in;

        Talk(Socket socket) throws IOException {
            socket.setSoTimeout(PATIENCE_MS);
            socket.setTcpNoDelay(true);
            this.socket = socket;
            this.in = new BufferedInputStream(socket.getInputStream());
        }

        void say(String text) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        /** A line without its end; null where the connection has ended. */
        String line() throws IOException {
            StringBuilder line = new StringBuilder();
            for (int next = in.read(); next != '\n'; next = in.read()) {
                if (next < 0) {
                    return null;
                }
                line.append((char) next);
            }
            return line.toString().trim();
        }

        /**
         * The first line of an HTTP request, read to its end; null where the caller left before
         * that.
         */
        String requestLine() throws IOException {
            String request = line();
            String header = request;
            while (header != null && !header.isEmpty()) {
                header = line();
            }
            return header == null ? null : request;
        }

        List<String> command() throws IOException {
            String head = line();
            if (head == null) {
                return null;
            }
            List<String> words = new ArrayList<>();
            for (int i = Integer.parseInt(head.substring(1)); i > 0; i--) {
                int length = Integer.parseInt(line().substring(1));
                words.add(new String(in.readNBytes(length), StandardCharsets.ISO_8859_1));
                in.readNBytes(2);
            }
            return words;
        }

        /** One answer: its line, and its value behind a blank where there is one. */
        String answer() throws IOException {
            String head = line();
            return head != null && head.startsWith("$") ? head + " " + line() : head;
        }

        void ask(String... words) throws IOException {
            say(Peers.command(words));
        }
    }

    final List<List<String>> commands = new CopyOnWriteArrayList<>();
    final List<String> calls = new CopyOnWriteArrayList<>();
    final List<Talk> watches = new CopyOnWriteArrayList<>();

    /** Calls to discovery that were not answered. */
    final List<Talk> silent = new CopyOnWriteArrayList<>();

    final RespGateway gateway;
    final Transport transport = Transport.sockets();

    /** What discovery answers a call with; null: it says nothing. */
    volatile String listing = "{\"revision\":2,\"complete\":false,\"members\":[]}";

    private final List<Closeable> open = new CopyOnWriteArrayList<>();
    private final SocketAddress front;
    private final Config config;

    Peers(Script script) throws Exception {
        this(script, text -> text);
    }

    /** The same with another configuration file. */
    Peers(Script script, UnaryOperator<String> change) throws Exception {
        ServerSocket node =
                serve(
                        talk -> {
                            for (List<String> words = talk.command();
                                    words != null;
                                    words = talk.command()) {
                                commands.add(words);
                                script.answer(words, talk);
                            }
                        });
        SocketAddress discovery = discovery();
        config =
                Config.of(
                        JsonReader.object(
                                change.apply(WarmUpRun.text()).getBytes(StandardCharsets.UTF_8)),
                        Map.of());
        gateway =
                new RespGateway(
                        config.at(
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                                discovery,
                                node.getLocalSocketAddress()),
                        transport);
        gateway.begin();
        front = gateway.start().get(PATIENCE_MS, TimeUnit.MILLISECONDS);
    }

    /** One more discovery; it answers as the listing says, and keeps the watch open. */
    SocketAddress discovery() throws IOException {
        return serve(
                        talk -> {
                            String call = talk.requestLine();
                            if (call == null) {
                                return;
                            }
                            if (listing == null) {
                                silent.add(talk);
                            }
                            calls.add(call);
                            if (listing == null) {
                                talk.in.read();
                            } else if (listing.startsWith("HTTP")) {
                                talk.say(listing);
                            } else {
                                talk.say(LIST);
                                watches.add(talk);
                                tell(talk, listing);
                                talk.in.read();
                            }
                        })
                .getLocalSocketAddress();
    }

    static void tell(Talk talk, String line) throws IOException {
        talk.say(Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n");
    }

    /** The gateway's configuration with discovery at this address. */
    Config configAt(SocketAddress discovery) {
        return config.at(front, discovery, front);
    }

    Talk client() throws IOException {
        Socket socket = new Socket();
        socket.connect(front);
        open.add(socket);
        return new Talk(socket);
    }

    static String command(String... words) {
        StringBuilder command = new StringBuilder("*" + words.length + "\r\n");
        for (String word : words) {
            command.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
        }
        return command.toString();
    }

    /** Words of a read with this id. */
    static String[] read(long id) {
        return new String[] {
            "BLK.READ", NumberParser.id(7), NumberParser.id(id), fields("get", 9000, 0)
        };
    }

    static String fields(String band, int patience, int shard) {
        return "c="
                + band
                + ",t=any,d="
                + patience
                + ",volume="
                + NumberParser.id(3)
                + ",units=2,shard="
                + shard
                + ",hosts=1";
    }

    private interface Task {
        void with(Talk talk) throws IOException;
    }

    private ServerSocket serve(Task task) throws IOException {
        ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        open.add(server);
        daemon(
                () -> {
                    while (true) {
                        Socket socket = server.accept();
                        open.add(socket);
                        daemon(
                                () -> {
                                    try (socket) {
                                        task.with(new Talk(socket));
                                    }
                                });
                    }
                });
        return server;
    }

    private interface Work {
        void run() throws IOException;
    }

    private static void daemon(Work work) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                work.run();
                            } catch (IOException ended) {
                                // The other end, or the test, has closed it.
                            }
                        },
                        "peer");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() {
        gateway.finish();
        gateway.ended().join();
        for (Closeable each : open) {
            try {
                each.close();
            } catch (IOException alreadyGone) {
                continue;
            }
        }
        transport.loops().shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }
}
