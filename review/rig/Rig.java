import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** Parts that the cases share: record, gateway process, discovery, stores and clients, all on loopback. */
public final class Rig {
    static final long START = System.nanoTime();

    private Rig() {}

    /** Milliseconds since the start of the test. */
    static double now() {
        return (System.nanoTime() - START) / 1e6;
    }

    static void sleep(double millis) {
        try {
            if (millis > 0) Thread.sleep((long) millis, (int) ((millis - Math.floor(millis)) * 1e6));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }

    static String hex(long value) {
        return String.format("%016x", value);
    }

    // ---- record ----

    /** Writes record.txt: one line for each event, with its time in milliseconds. */
    static final class Record implements Closeable {
        private final PrintWriter out;

        Record(Path file) throws IOException {
            out = new PrintWriter(Files.newBufferedWriter(file));
            start(
                    () -> {
                        while (true) {
                            sleep(500);
                            out.flush();
                        }
                    });
        }

        synchronized void line(String format, Object... values) {
            out.printf(Locale.ROOT, "%10.1f %s%n", now(), String.format(Locale.ROOT, format, values));
        }

        @Override
        public synchronized void close() {
            out.close();
        }
    }

    // ---- gateway ----

    /** A gateway, started by the run command of the deploy file. */
    static final class Gateway implements Closeable {
        final String host;
        final int port;
        final Process process;
        final Path log;
        final Record record;

        Gateway(Path root, Path dir, String host, int port, String config, Record record) throws IOException {
            this.host = host;
            this.port = port;
            this.record = record;
            Path file = dir.resolve("config-" + port + ".json");
            Files.writeString(file, config);
            Path tmp = Files.createDirectories(dir.resolve("tmp-" + port));
            log = dir.resolve("gateway-" + port + ".log");
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", deployCommand(root, "run"));
            builder.directory(root.toFile());
            builder.environment().put("GW_NAME", "n0");
            builder.environment().put("GW_LISTEN", host + ":" + port);
            builder.environment().put("GW_CONFIG", file.toString());
            builder.environment().put("TMPDIR", tmp.toString());
            builder.redirectErrorStream(true).redirectOutput(log.toFile());
            process = builder.start();
            Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
            record.line("gateway started, listens on %s:%d", host, port);
        }

        /** Waits until PING is answered; returns whether it was. */
        boolean awaitReady(double millis) {
            double end = now() + millis;
            while (now() < end && process.isAlive()) {
                try (Conn conn = new Conn(host, port)) {
                    conn.write("*1\r\n$4\r\nPING\r\n".getBytes(StandardCharsets.US_ASCII));
                    conn.timeout(1000);
                    if ("+PONG".equals(conn.readReply().line)) {
                        record.line("gateway answers PING");
                        return true;
                    }
                } catch (IOException notYet) {
                    sleep(50);
                }
            }
            return false;
        }

        void signal(String name) throws IOException {
            record.line("signal %s to the gateway", name);
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
        }

        @Override
        public void close() {
            process.destroyForcibly();
            try {
                process.waitFor();
                for (String line : Files.readAllLines(log)) {
                    if (line.contains("Error")) {
                        record.line("gateway's log: %s", line);
                    }
                }
                if (System.getenv("KEEP_LOG") != null) {
                    Files.copy(log, Path.of(System.getenv("KEEP_LOG")), StandardCopyOption.REPLACE_EXISTING);
                }
            } catch (InterruptedException | IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    static String deployCommand(Path root, String key) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith(key + " = \"")) {
                return line.substring(key.length() + 4, line.lastIndexOf('"'));
            }
        }
        throw new IOException("the deploy file has no " + key);
    }

    // ---- RESP ----

    /** One RESP value: a line with its kind, a bulk string (null if absent), or an array. */
    static final class Reply {
        String line;
        byte[] bulk;
        boolean isNull;
        List<Reply> items;

        boolean isServed() {
            return bulk != null || (items != null && !items.isEmpty() && items.get(0).bulk != null);
        }

        String describe() {
            if (line != null) return line;
            if (items != null) return "array of " + items.size();
            if (isNull) return "null";
            String text = new String(bulk, 0, Math.min(bulk.length, 40), StandardCharsets.ISO_8859_1);
            return "bulk string of " + bulk.length + " bytes: " + text;
        }
    }

    /** A blocking RESP connection. */
    static final class Conn implements Closeable {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Conn(String host, int port) throws IOException {
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(host, port), 3000);
            in = new BufferedInputStream(socket.getInputStream(), 65536);
            out = socket.getOutputStream();
        }

        Conn(Socket accepted) throws IOException {
            socket = accepted;
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream(), 65536);
            out = socket.getOutputStream();
        }

        void timeout(double millis) throws IOException {
            socket.setSoTimeout(Math.max(1, (int) millis));
        }

        void write(byte[] bytes) throws IOException {
            out.write(bytes);
            out.flush();
        }

        Reply readReply() throws IOException {
            String line = readLine();
            Reply reply = new Reply();
            switch (line.charAt(0)) {
                case '$' -> {
                    int length = Integer.parseInt(line.substring(1));
                    if (length < 0) {
                        reply.isNull = true;
                    } else {
                        reply.bulk = in.readNBytes(length);
                        if (reply.bulk.length < length || in.read() != '\r' || in.read() != '\n') {
                            throw new EOFException("connection ended inside a value");
                        }
                    }
                }
                case '*' -> {
                    int count = Integer.parseInt(line.substring(1));
                    reply.items = new ArrayList<>();
                    for (int i = 0; i < count; i++) reply.items.add(readReply());
                }
                default -> reply.line = line;
            }
            return reply;
        }

        private String readLine() throws IOException {
            StringBuilder text = new StringBuilder();
            for (int c = in.read(); c != '\n'; c = in.read()) {
                if (c < 0) throw new EOFException("connection ended");
                if (c != '\r') text.append((char) c);
            }
            if (text.length() == 0) throw new IOException("empty line");
            return text.toString();
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException ignored) {
                // closed all the same
            }
        }
    }

    static byte[] command(byte[]... arguments) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(("*" + arguments.length + "\r\n").getBytes(StandardCharsets.US_ASCII));
        for (byte[] argument : arguments) {
            out.writeBytes(("$" + argument.length + "\r\n").getBytes(StandardCharsets.US_ASCII));
            out.writeBytes(argument);
            out.writeBytes(new byte[] {'\r', '\n'});
        }
        return out.toByteArray();
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static String fields(String trafficClass, int deadline, int shard) {
        return "c=" + trafficClass + ",t=basic,d=" + deadline
                + ",volume=00000003b4d60021,units=2,shard=" + shard + ",hosts=1";
    }

    static byte[] read(long piece, long id, String fields) {
        return command(ascii("BLK.READ"), ascii(hex(piece)), ascii(hex(id)), ascii(fields));
    }

    static byte[] write(long piece, long id, String fields, byte[] body) {
        return command(ascii("BLK.WRITE"), ascii(hex(piece)), ascii(hex(id)), ascii(fields), body);
    }

    // ---- store ----

    /** A sound store; a test may replace what it does with a command. */
    static class Store implements Closeable {
        final ServerSocket server;
        final String id;
        final int cell;
        final Record record;
        final AtomicInteger commands = new AtomicInteger();
        volatile double serviceMillis = 20;
        final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

        Store(String host, String id, int cell, Record record) throws IOException {
            this.id = id;
            this.cell = cell;
            this.record = record;
            server = new ServerSocket(0, 512, InetAddress.getByName(host));
            start(this::acceptAll);
        }

        String address() {
            return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
        }

        private void acceptAll() {
            try {
                while (true) {
                    Socket socket = server.accept();
                    sockets.add(socket);
                    start(() -> serve(socket));
                }
            } catch (IOException closed) {
                // the test has ended
            }
        }

        private void serve(Socket socket) {
            try (Conn conn = new Conn(socket)) {
                while (true) {
                    Reply command = conn.readReply();
                    String name = new String(command.items.get(0).bulk, StandardCharsets.ISO_8859_1);
                    if (name.equals("PING")) {
                        conn.write(ascii("+PONG\r\n"));
                    } else {
                        commands.incrementAndGet();
                        record.line("store %s takes %s", id, argument(command, 2));
                        onCommand(conn, command);
                    }
                }
            } catch (IOException | RuntimeException ended) {
                // the gateway has gone
            } finally {
                sockets.remove(socket);
            }
        }

        /** Serves a command: the value names the store, the piece and the request's id. */
        void onCommand(Conn conn, Reply command) throws IOException {
            sleep(serviceMillis);
            answer(conn, command);
        }

        void answer(Conn conn, Reply command) throws IOException {
            answer(conn, command, valueFor(command));
        }

        void answer(Conn conn, Reply command, String value) throws IOException {
            record.line("store %s has run %s", id, argument(command, 2));
            conn.write(ascii("*3\r\n" + bulk(value) + "$-1\r\n$-1\r\n"));
        }

        static String bulk(String text) {
            return "$" + text.length() + "\r\n" + text + "\r\n";
        }

        static String valueFor(Reply command) {
            return "value of " + argument(command, 1) + " for " + argument(command, 2);
        }

        static String argument(Reply command, int index) {
            return new String(command.items.get(index).bulk, StandardCharsets.ISO_8859_1);
        }

        @Override
        public void close() throws IOException {
            server.close();
            for (Socket socket : sockets) socket.close();
        }
    }

    // ---- discovery ----

    /** A sound discovery: the whole list, and watches with an empty line every 2 s. */
    static final class Discovery implements Closeable {
        final ServerSocket server;
        final Record record;
        private long revision = 41;
        private String members;

        Discovery(String host, String members, Record record) throws IOException {
            this.members = members;
            this.record = record;
            server = new ServerSocket(0, 256, InetAddress.getByName(host));
            start(this::acceptAll);
        }

        String address() {
            return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
        }

        synchronized String list() {
            return "{\"revision\":" + revision + ",\"complete\":true,\"members\":[" + members + "]}";
        }

        synchronized void update(String newMembers) {
            members = newMembers;
            revision++;
            notifyAll();
        }

        private void acceptAll() {
            try {
                while (true) {
                    Socket socket = server.accept();
                    start(() -> serve(socket));
                }
            } catch (IOException closed) {
                // the test has ended
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
                OutputStream out = socket.getOutputStream();
                String request = in.readLine();
                for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {}
                if (!request.contains("watch=1")) {
                    byte[] body = ascii(list() + "\n");
                    out.write(ascii("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                            + body.length + "\r\n\r\n"));
                    out.write(body);
                    out.flush();
                    return;
                }
                out.write(ascii("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"));
                long told = -1;
                while (true) {
                    String text = "\n";
                    synchronized (this) {
                        if (revision == told) wait(2000);
                        if (revision != told) {
                            text = list() + "\n";
                            told = revision;
                        }
                    }
                    out.write(ascii(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
                    out.flush();
                }
            } catch (IOException | InterruptedException | RuntimeException ended) {
                // the gateway has gone
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    static String member(String id, String address, int cell, String phase) {
        return "{\"id\":\"" + id + "\",\"host_port\":\"" + address + "\",\"locality\":\"a\",\"flavor\":\"m2\",\"cell\":"
                + cell + ",\"phase\":\"" + phase + "\",\"size\":1.0,\"up_since_ms\":0}";
    }

    /** A configuration in DEPLOY's form. */
    static String config(
            String listen, String discovery, String members, int memoryMb, int sockets, int cells, String classes,
            String writes, String more) {
        return "{\"name\":\"n0\",\"listen\":\"" + listen + "\",\"discovery\":\"" + discovery
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb
                + ",\"sockets\":" + sockets + "},\"known\":{\"revision\":41,\"complete\":true,\"members\":[" + members
                + "]},\"settings\":{\"me\":0,\"balancers\":4,\"az\":0,\"tickNs\":2000000,\"discovery\":\"subscribe\","
                + "\"zones\":[\"a\",\"b\"],\"kinds\":[\"m2\"],\"classes\":[" + classes + "],"
                + "\"plans\":[{\"name\":\"basic\",\"rate\":400.0,\"guaranteed\":200.0,\"weight\":1.0,\"price\":1.0}],"
                + "\"contract\":{\"graceToAnswerNs\":50000000,\"drainGraceNs\":2000000000,\"coldFrom\":0.3,"
                + "\"coldNs\":8000000000,\"fallMultiple\":2.0,\"overloadForNs\":2000000000,\"askEveryNs\":800000000"
                + more + "},\"domain\":{\"changesData\":[" + writes + "],\"maxUnits\":6,\"usualUnits\":2,\"coldBears\":12,"
                + "\"shards\":" + cells + ",\"saysOthers\":true,\"shareWorth\":0.35,\"beyondShare\":0.05},"
                + "\"limits\":{\"mostTries\":3,\"mayDuplicate\":false,\"mayProbe\":true,\"cancel\":false,"
                + "\"dialTimeoutNs\":250000000,\"connIdleNs\":15000000000},"
                + "\"report\":{\"how\":\"pull\",\"fields\":[\"mean_ms\"]}}}";
    }

    static String trafficClass(String name, String effect, int sloMillis, int deadlineMillis) {
        return "{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"sloNs\":" + sloMillis
                + "000000,\"hardLimitNs\":" + deadlineMillis + "000000,\"worth\":2.0,\"lateShare\":0.1}";
    }

    static Path tempDir() throws IOException {
        Path dir = Files.createTempDirectory("sagepulley-review");
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    try {
                                        delete(dir);
                                    } catch (IOException busy) {
                                        // the gateway may still write there
                                    }
                                }));
        return dir;
    }

    static void delete(Path dir) throws IOException {
        try (var files = Files.walk(dir)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) Files.deleteIfExists(file);
        }
    }
}
