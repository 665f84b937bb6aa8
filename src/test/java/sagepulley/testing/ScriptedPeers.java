package sagepulley.testing;

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
import sagepulley.codec.resp.NumberParser;
import sagepulley.config.resp.GatewayConfig;
import sagepulley.discovery.http.JsonReader;
import sagepulley.frontend.resp.RespGateway;
import sagepulley.lifecycle.WarmUpConfig;
import sagepulley.transport.Transport;

/** Runs a gateway on loopback with an endpoint and a discovery that follow the script of a test. */
public final class ScriptedPeers implements Closeable {
    private static final int TIMEOUT_MILLIS = 20_000;
    public static final String VALUE_REPLY = "*3\r\n$5\r\nvalue\r\n$6\r\ncost=1\r\n$-1\r\n";
    private static final String LIST_RESPONSE_HEAD =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    /** Defines how the endpoint handles a command. */
    public interface Script {
        void respond(List<String> arguments, Connection connection) throws IOException;
    }

    /** The side of a connection that a test or a scripted peer controls. */
    public static final class Connection {
        public final Socket socket;
        public final InputStream input;

        public Connection(Socket socket) throws IOException {
            socket.setSoTimeout(TIMEOUT_MILLIS);
            socket.setTcpNoDelay(true);
            this.socket = socket;
            this.input = new BufferedInputStream(socket.getInputStream());
        }

        public void send(String text) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        /** Reads a line without CR LF; returns null at the end of the stream. */
        public String readLine() throws IOException {
            StringBuilder line = new StringBuilder();
            for (int next = input.read(); next != '\n'; next = input.read()) {
                if (next < 0) {
                    return null;
                }
                line.append((char) next);
            }
            return line.toString().trim();
        }

        /**
         * Reads an HTTP request and returns its first line; null if the stream ends before the
         * request is complete.
         */
        public String readRequestLine() throws IOException {
            String request = readLine();
            String header = request;
            while (header != null && !header.isEmpty()) {
                header = readLine();
            }
            return header == null ? null : request;
        }

        public List<String> readCommand() throws IOException {
            String head = readLine();
            if (head == null) {
                return null;
            }
            List<String> arguments = new ArrayList<>();
            for (int i = Integer.parseInt(head.substring(1)); i > 0; i--) {
                int length = Integer.parseInt(readLine().substring(1));
                arguments.add(new String(input.readNBytes(length), StandardCharsets.ISO_8859_1));
                input.readNBytes(2);
            }
            return arguments;
        }

        /**
         * Reads a reply and returns its first line, followed by a blank and the value of a bulk
         * string; null at the end of the stream.
         */
        public String readReply() throws IOException {
            String head = readLine();
            return head != null && head.startsWith("$") ? head + " " + readLine() : head;
        }

        public void sendCommand(String... arguments) throws IOException {
            send(ScriptedPeers.command(arguments));
        }
    }

    public final List<List<String>> commands = new CopyOnWriteArrayList<>();
    public final List<String> discoveryRequests = new CopyOnWriteArrayList<>();
    public final List<Connection> watches = new CopyOnWriteArrayList<>();

    /**
     * Connections whose request arrived while {@link #endpointList} was null, so that discovery
     * sent no response. A test may send one.
     */
    public final List<Connection> unansweredRequests = new CopyOnWriteArrayList<>();

    public final RespGateway gateway;
    public final Transport transport = Transport.sockets();

    /** Response of discovery, a list or a complete HTTP response; null to send none. */
    public volatile String endpointList = "{\"revision\":2,\"complete\":false,\"members\":[]}";

    private final List<Closeable> openResources = new CopyOnWriteArrayList<>();
    private final SocketAddress clientAddress;
    private final GatewayConfig config;

    public ScriptedPeers(Script script) throws Exception {
        this(script, text -> text);
    }

    /**
     * Starts a gateway with the built-in configuration file of the warm-up run.
     *
     * @param configEdit modifies the text of the file before it is parsed
     */
    public ScriptedPeers(Script script, UnaryOperator<String> configEdit) throws Exception {
        SocketAddress endpoint = startEndpoint(script);
        SocketAddress discovery = startDiscovery();
        config =
                GatewayConfig.parse(
                        JsonReader.readObject(
                                configEdit
                                        .apply(WarmUpConfig.text())
                                        .getBytes(StandardCharsets.UTF_8)),
                        Map.of());
        gateway =
                new RespGateway(
                        config.withAddresses(
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                                discovery,
                                endpoint),
                        transport);
        gateway.connectToDiscovery();
        clientAddress = gateway.start().get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Starts an endpoint, which responds to each command as the script says. */
    public SocketAddress startEndpoint(Script script) throws IOException {
        return serve(
                        connection -> {
                            for (List<String> arguments = connection.readCommand();
                                    arguments != null;
                                    arguments = connection.readCommand()) {
                                commands.add(arguments);
                                script.respond(arguments, connection);
                            }
                        })
                .getLocalSocketAddress();
    }

    /** Starts a discovery, which responds with the endpoint list and keeps watches open. */
    public SocketAddress startDiscovery() throws IOException {
        return serve(
                        connection -> {
                            String request = connection.readRequestLine();
                            if (request == null) {
                                return;
                            }
                            if (endpointList == null) {
                                unansweredRequests.add(connection);
                            }
                            discoveryRequests.add(request);
                            if (endpointList == null) {
                                connection.input.read();
                            } else if (endpointList.startsWith("HTTP")) {
                                connection.send(endpointList);
                            } else {
                                connection.send(LIST_RESPONSE_HEAD);
                                watches.add(connection);
                                sendChunk(connection, endpointList);
                                connection.input.read();
                            }
                        })
                .getLocalSocketAddress();
    }

    public static void sendChunk(Connection connection, String line) throws IOException {
        connection.send(Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n");
    }

    /** Returns the configuration of the gateway with discovery at this address. */
    public GatewayConfig configAt(SocketAddress discovery) {
        return config.withAddresses(clientAddress, discovery, clientAddress);
    }

    public Connection connectClient() throws IOException {
        Socket socket = new Socket();
        socket.connect(clientAddress);
        openResources.add(socket);
        return new Connection(socket);
    }

    public static String command(String... arguments) {
        StringBuilder command = new StringBuilder("*" + arguments.length + "\r\n");
        for (String argument : arguments) {
            command.append('$')
                    .append(argument.length())
                    .append("\r\n")
                    .append(argument)
                    .append("\r\n");
        }
        return command.toString();
    }

    /** Returns the arguments of a read with this id. */
    public static String[] readCommand(long id) {
        return new String[] {
            "BLK.READ", NumberParser.formatId(7), NumberParser.formatId(id), fields("get", 9000, 0)
        };
    }

    public static String fields(String trafficClass, int deadlineMillis, int shard) {
        return "c="
                + trafficClass
                + ",t=any,d="
                + deadlineMillis
                + ",volume="
                + NumberParser.formatId(3)
                + ",units=2,shard="
                + shard
                + ",hosts=1";
    }

    private interface ConnectionHandler {
        void handle(Connection connection) throws IOException;
    }

    private ServerSocket serve(ConnectionHandler handler) throws IOException {
        ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        openResources.add(server);
        daemon(
                () -> {
                    while (true) {
                        Socket socket = server.accept();
                        openResources.add(socket);
                        daemon(
                                () -> {
                                    try (socket) {
                                        handler.handle(new Connection(socket));
                                    }
                                });
                    }
                });
        return server;
    }

    private interface IoTask {
        void run() throws IOException;
    }

    private static void daemon(IoTask task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (IOException ended) {
                                // The peer or the test has closed the connection.
                            }
                        },
                        "peer");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() {
        gateway.stopNow();
        gateway.stopped().join();
        for (Closeable each : openResources) {
            try {
                each.close();
            } catch (IOException alreadyClosed) {
                continue;
            }
        }
        transport.eventLoops().shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }
}
