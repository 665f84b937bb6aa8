package sagepulley.testing;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A gateway in a process of its own, with the memory limits of {@code run} in the deploy file. */
public final class ChildGateway implements Closeable {
    private static final Path DEPLOY_FILE = Path.of("deploy", "balancer.toml");
    private static final long START_TIMEOUT_MILLIS = 30_000;

    public final Process process;
    private final Path log;
    private final int port;

    /** Starts a gateway that listens on the port of its configuration. */
    public ChildGateway(Path folder, int port, String config) throws IOException {
        this.port = port;
        Path file = folder.resolve("config.json");
        Files.writeString(file, config);
        log = folder.resolve("gateway.log");
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(deployedOptions());
        command.addAll(
                List.of("-cp", System.getProperty("java.class.path"), "sagepulley.Main", "serve"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("GW_CONFIG", file.toString());
        process = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
    }

    /** Returns the JVM options of {@code run}, except those of the class archive. */
    private static List<String> deployedOptions() throws IOException {
        String run =
                Files.readAllLines(DEPLOY_FILE).stream()
                        .filter(line -> line.startsWith("run = "))
                        .findFirst()
                        .orElseThrow();
        return Arrays.stream(run.split(" "))
                .filter(option -> option.startsWith("-X") || option.startsWith("-D"))
                .filter(option -> !option.contains("Share"))
                .toList();
    }

    /** Waits until the gateway answers PING. */
    public void awaitReady() throws Exception {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MILLIS);
        while (true) {
            try (Socket socket = connect().socket) {
                ScriptedPeers.Connection client = new ScriptedPeers.Connection(socket);
                client.sendCommand("PING");
                if ("+PONG".equals(client.readReply())) {
                    return;
                }
            } catch (IOException notReady) {
                if (System.nanoTime() > deadline || !process.isAlive()) {
                    throw new IOException("the gateway does not start: " + logText(), notReady);
                }
                Thread.sleep(50);
            }
        }
    }

    public ScriptedPeers.Connection connect() throws IOException {
        return new ScriptedPeers.Connection(new Socket(InetAddress.getLoopbackAddress(), port));
    }

    public String logText() throws IOException {
        return Files.readString(log);
    }

    @Override
    public void close() throws IOException {
        process.destroyForcibly();
    }
}
