package sagepulley.faultinjection;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A gateway running as a separate serve process with its own JVM, configuration file and signals.
 */
final class GatewayProcess implements Closeable {
    private static final long MAX_START_SECONDS = 30;
    private static final long PING_INTERVAL_MILLIS = 50;
    private static final String PEAK_MEMORY_KEY = "VmHWM:";

    /** JVM options of processes that are not limited as in service. */
    static final List<String> DEFAULT_OPTIONS =
            List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx64m", "-Xss256k");

    final int number;
    final Path log;
    final long startedAt = System.nanoTime();
    final InetSocketAddress listen;
    private final Process process;

    /**
     * Starts the process. The launcher is a command that is put before the java command; it may be
     * empty. It must replace itself by the java command (exec), because signals go to its process.
     */
    GatewayProcess(
            int number,
            InetSocketAddress listen,
            Path config,
            Path log,
            Map<String, String> environment,
            List<String> launcher,
            List<String> options)
            throws IOException {
        this.number = number;
        this.listen = listen;
        this.log = log;
        List<String> command = new ArrayList<>(launcher);
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(options);
        command.addAll(
                List.of("-cp", System.getProperty("java.class.path"), "sagepulley.Main", "serve"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("GW_CONFIG", config.toString());
        builder.environment().putAll(environment);
        process =
                builder.redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                        .start();
        // Leaves no gateway behind when this JVM is stopped.
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    /** Waits until the gateway answers PING. */
    GatewayProcess awaitReady() throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_START_SECONDS);
        while (!answersPing()) {
            if (System.nanoTime() > until) {
                throw new IllegalStateException(
                        "the gateway is not ready after " + MAX_START_SECONDS + " s: " + logText());
            }
            Thread.sleep(PING_INTERVAL_MILLIS);
        }
        return this;
    }

    /** Returns whether the gateway answers PING now; fails if its process has ended. */
    boolean answersPing() {
        if (!process.isAlive()) {
            throw new IllegalStateException(
                    "the gateway exited with code " + process.exitValue() + ": " + logText());
        }
        try (Socket socket = new Socket()) {
            socket.connect(listen, 200);
            socket.setSoTimeout(500);
            RespPeer peer = new RespPeer(socket);
            peer.send(RespPeer.command("PING"));
            return "+PONG".equals(peer.readAnswer());
        } catch (IOException notReady) {
            return false;
        }
    }

    /** Returns the text of the log file. */
    String logText() {
        try {
            return Files.readString(log);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the most resident memory that the process has used, in kilobytes. */
    long peakMemoryKilobytes() throws IOException {
        return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
                .filter(line -> line.startsWith(PEAK_MEMORY_KEY))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                .findFirst()
                .orElseThrow(() -> new IOException("process status has no " + PEAK_MEMORY_KEY));
    }

    /** Sends a signal, such as TERM; the process may have ended. */
    void signal(String name) throws IOException, InterruptedException {
        int result =
                new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                        .start()
                        .waitFor();
        if (result != 0 && process.isAlive()) {
            throw new IOException(
                    "SIG" + name + " to process " + process.pid() + " failed: " + result);
        }
    }

    /** Suspends the process for a number of seconds, to simulate a busy machine. */
    void suspend(String seconds) throws IOException, InterruptedException {
        String pid = Long.toString(process.pid());
        new ProcessBuilder(
                        "sh",
                        "-c",
                        "kill -STOP " + pid + "; sleep " + seconds + "; kill -CONT " + pid)
                .start()
                .waitFor();
    }

    /** Sends SIGKILL and waits for the process to end. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Waits for the process to end and returns its exit code. */
    int awaitExitCode() throws InterruptedException {
        return process.waitFor();
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
