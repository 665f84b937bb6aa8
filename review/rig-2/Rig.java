import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Runs one case: starts the project's programs as processes of their own, and ends them. */
final class Rig implements AutoCloseable {
    /** A case; it notes in the record whether the rule was broken. */
    interface Case {
        void run(Rig rig, boolean trouble) throws Exception;
    }

    final Record record;
    final Path folder;
    private final Path jar;
    private final List<Process> processes = new ArrayList<>();
    private final List<AutoCloseable> closeables = new ArrayList<>();

    private Rig(Path jar, Path folder, Record record) {
        this.jar = jar;
        this.folder = folder;
        this.record = record;
    }

    /**
     * Runs a case and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not
     * run. Arguments: the jar, a temporary folder, the record's file.
     */
    static void main(String[] args, Case toRun) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Record record = new Record(Path.of(args[2]));
                Rig rig = new Rig(Path.of(args[0]), Path.of(args[1]), record)) {
            Runtime.getRuntime().addShutdownHook(new Thread(rig::kill));
            record.line("%s the disruption", trouble ? "with" : "without");
            try {
                toRun.run(rig, trouble);
                status = record.count() > 0 ? 1 : 0;
                record.line("result: %s", status == 0 ? "the rule held" : "the rule was broken");
                System.out.println(status == 0 ? "held" : "broken");
            } catch (Throwable failed) {
                record.line("could not run: %s", failed);
                failed.printStackTrace();
            }
        } catch (IOException failed) {
            failed.printStackTrace();
        }
        System.exit(status);
    }

    static void thread(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static DataInputStream input(Socket socket) throws IOException {
        return new DataInputStream(new BufferedInputStream(socket.getInputStream(), 1 << 16));
    }

    /** Returns a port of loopback that is free now. */
    static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return free.getLocalPort();
        }
    }

    /** Listens on a port of loopback (0: a free one), which may have been closed a moment ago. */
    static ServerSocket listen(int port) throws IOException {
        for (int i = 0; ; i++) {
            ServerSocket listener = new ServerSocket();
            listener.setReuseAddress(true);
            try {
                listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port));
                return listener;
            } catch (IOException taken) {
                listener.close();
                if (i == 50) {
                    throw taken;
                }
                sleep(100);
            }
        }
    }

    static void check(boolean condition, String message) {
        if (!condition) {
            throw new IllegalStateException(message);
        }
    }

    /** Closes a stand-in at the end of the case. */
    <T extends AutoCloseable> T keep(T closeable) {
        closeables.add(0, closeable);
        return closeable;
    }

    /**
     * Starts a program of the project by the command of its pages (java -jar sagepulley.jar ...), and
     * waits until it says that it is ready.
     *
     * @return the process and the port in its line
     */
    Started start(String name, String... words) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of("java", "-jar", jar.toString()));
        command.addAll(List.of(words));
        record.line("start %s: %s", name, String.join(" ", List.of(words)));
        Process process =
                new ProcessBuilder(command)
                        .redirectError(
                                ProcessBuilder.Redirect.appendTo(
                                        folder.resolve(name + ".log").toFile()))
                        .start();
        synchronized (processes) {
            processes.add(process);
        }
        BufferedReader lines =
                new BufferedReader(
                        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        String[] ready = new String[1];
        Thread reader = new Thread(() -> {
            try {
                for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                    synchronized (ready) {
                        if (line.startsWith("ready: ")) {
                            ready[0] = line;
                            ready.notifyAll();
                        }
                    }
                }
            } catch (IOException ended) {
                // the process has gone
            }
        });
        reader.setDaemon(true);
        reader.start();
        synchronized (ready) {
            long until = System.currentTimeMillis() + 30_000;
            while (ready[0] == null && System.currentTimeMillis() < until && process.isAlive()) {
                ready.wait(100);
            }
        }
        if (ready[0] == null) {
            copyLog(name);
            throw new IOException(name + " did not start");
        }
        record.line("%s", ready[0]);
        return new Started(process, Integer.parseInt(ready[0].substring(ready[0].lastIndexOf(':') + 1)));
    }

    private void copyLog(String name) throws IOException {
        Path log = folder.resolve(name + ".log");
        if (Files.exists(log)) {
            Files.readAllLines(log).forEach(line -> record.line("%s", name + ": " + line));
        }
    }

    record Started(Process process, int port) {}

    /** Kills a process outright and waits for its end. */
    void kill(Started started) throws InterruptedException {
        record.line("SIGKILL to process %d", started.process().pid());
        started.process().destroyForcibly().waitFor(10, TimeUnit.SECONDS);
    }

    /** Sends SIGTERM. */
    void terminate(Started started) {
        record.line("SIGTERM to process %d", started.process().pid());
        started.process().destroy();
    }

    /** Writes a site file for the NBD gateway, shaped as the sample of the project. */
    String site(String name, int nbdPort, int directoryPort, String more) throws IOException {
        Path file = folder.resolve(name + ".ini");
        Files.writeString(
                file,
                String.join(
                        "\n",
                        "[gateway]",
                        "name = " + name,
                        "nbd-listen = 127.0.0.1:" + nbdPort,
                        "directory = 127.0.0.1:" + directoryPort,
                        "[site]",
                        "zones = hall-a",
                        "extent = 1 MiB",
                        "unit = 128 KiB",
                        "[rules]",
                        "drain-grace = 1 s",
                        "cold-share = 0.25",
                        "cold-time = 10 s",
                        "fall-multiple = 2",
                        "fall-time = 2 s",
                        "cold-units = 64",
                        "[band read]",
                        "target = 500 ms",
                        "patience = 2500 ms",
                        "utility = 3",
                        "[band bulk-read]",
                        "target = 2500 ms",
                        "patience = 7500 ms",
                        "late-share = 0.3",
                        "[plan plain]",
                        "rate = 4000",
                        "reserve = 2000",
                        "weight = 3",
                        "[volume demo]",
                        "id = 1",
                        "size = 64 MiB",
                        "plan = plain",
                        "read-band = read",
                        "write-band = write",
                        "bulk-band = bulk-read",
                        more,
                        ""));
        return file.toString();
    }

    /** The write band of the sample. */
    static String writeBand(String more) {
        return String.join(
                "\n",
                "[band write]",
                "writes = yes",
                "target = 800 ms",
                "patience = 4 s",
                "utility = 2",
                more);
    }

    private void kill() {
        synchronized (processes) {
            processes.forEach(Process::destroyForcibly);
        }
    }

    @Override
    public void close() {
        kill();
        for (AutoCloseable closeable : closeables) {
            try {
                closeable.close();
            } catch (Exception ended) {
                // it had gone before
            }
        }
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
