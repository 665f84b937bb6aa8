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

/** One `serve` process as it runs in service: its own JVM, a configuration file, signals. */
final class GatewayProcess implements Closeable {
    private static final long MAX_START_SECONDS = 30;
    private static final long PING_INTERVAL_MILLIS = 50;

    final int number;
    final Path log;
    final long startedAt = System.nanoTime();
    final InetSocketAddress listen;
    private final Process process;

    /**
     * The launcher is a command in front of it, which becomes the process itself; it may be empty.
     */
    GatewayProcess(
            int number,
            InetSocketAddress listen,
            Path config,
            Path log,
            Map<String, String> environment,
            List<String> launcher)
            throws IOException {
        this.number = number;
        this.listen = listen;
        this.log = log;
        List<String> command = new ArrayList<>(launcher);
        command.addAll(
                List.of(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-Xmx64m",
                        "-Xss256k",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "sagepulley.Main",
                        "serve"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("GW_CONFIG", config.toString());
        builder.environment().putAll(environment);
        process =
                builder.redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                        .start();
        // A run that is ended from outside leaves no gateway behind.
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    /** Waits until it answers PING. */
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

    /** Whether it answers PING now; fails if its process has ended. */
    boolean answersPing() {
        if (!process.isAlive()) {
            throw new IllegalStateException(
                    "the gateway ended with " + process.exitValue() + ": " + logText());
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

    /** All that it has logged. */
    String logText() {
        try {
            return Files.readString(log);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Sends a signal, such as TERM, to a process that may have ended. */
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

    /** Stops the process for so many seconds, as a busy machine does. */
    void suspend(String seconds) throws IOException, InterruptedException {
        String pid = Long.toString(process.pid());
        new ProcessBuilder(
                        "sh",
                        "-c",
                        "kill -STOP " + pid + "; sleep " + seconds + "; kill -CONT " + pid)
                .start()
                .waitFor();
    }

    /** SIGKILL, and waits until it is gone. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Waits until it has ended. */
    int awaitExitCode() throws InterruptedException {
        return process.waitFor();
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
