package sagepulley.lifecycle;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import sagepulley.codec.frame.EpollUnavailableException;
import sagepulley.config.resp.ConfigException;
import sagepulley.frontend.resp.RespGateway;
import sagepulley.testing.ScriptedPeers;

/** Tests a gateway that is started from a file and receives signals of the operating system. */
@Timeout(60)
class GatewayServerTest {
    @TempDir Path folder;

    /** The first file is a pipe that delays its reader until the second signal has been sent. */
    @Test
    void lastReloadAppliesWhenAnEarlierOneIsReadSlowly() throws Exception {
        try (ScriptedPeers peers =
                new ScriptedPeers(
                        (arguments, connection) -> connection.send(ScriptedPeers.VALUE_REPLY))) {
            int port = WarmUpConfig.freePort();
            Path file = folder.resolve("config.json");
            Files.writeString(file, config(port, peers.startDiscovery()));
            CompletableFuture<RespGateway> ready = new CompletableFuture<>();
            CompletableFuture<Void> ended = serve(Map.of("GW_CONFIG", file.toString()), ready);
            RespGateway gateway = ready.get();
            await().until(() -> peers.watches.size() == 2);

            SocketAddress firstDiscovery = peers.startDiscovery();
            SocketAddress lastDiscovery = peers.startDiscovery();
            Files.delete(file);
            assertEquals(0, new ProcessBuilder("mkfifo", file.toString()).start().waitFor());
            sendHangup();
            // Opening the pipe blocks until the reload opens it for reading.
            try (OutputStream pipe = Files.newOutputStream(file)) {
                Files.delete(file);
                Files.writeString(file, config(port, lastDiscovery));
                sendHangup();
                // Without ordered reads, the second file would have been applied by then.
                for (int i = 0; i < 50 && !isWatched(peers, lastDiscovery); i++) {
                    Thread.sleep(10);
                }
                pipe.write(config(port, firstDiscovery).getBytes(StandardCharsets.UTF_8));
            }
            await().until(() -> gateway.reloads() == 2);
            assertEquals(lastDiscovery, gateway.discoveryAddress());
            await().until(() -> isWatched(peers, lastDiscovery));
            gateway.stopNow();
            ended.get();
        }
    }

    /** Runs a gateway on a separate thread; the future completes when it has stopped. */
    private static CompletableFuture<Void> serve(
            Map<String, String> environment, CompletableFuture<RespGateway> ready) {
        return CompletableFuture.runAsync(
                () -> {
                    try {
                        GatewayServer.run(environment, ready::complete);
                    } catch (ConfigException | EpollUnavailableException failure) {
                        throw new IllegalStateException(failure);
                    }
                });
    }

    private static boolean isWatched(ScriptedPeers peers, SocketAddress discovery) {
        return peers.watches.stream()
                .anyMatch(watch -> watch.socket.getLocalSocketAddress().equals(discovery));
    }

    @Test
    void reloadMovesDiscoveryAndAnInvalidFileChangesNothing() throws Exception {
        try (ScriptedPeers peers =
                new ScriptedPeers(
                        (arguments, connection) -> connection.send(ScriptedPeers.VALUE_REPLY))) {
            int port = WarmUpConfig.freePort();
            Path file = folder.resolve("config.json");
            Files.writeString(file, config(port, peers.startDiscovery()));
            Map<String, String> environment = Map.of("GW_CONFIG", file.toString());
            CompletableFuture<RespGateway> ready = new CompletableFuture<>();
            CompletableFuture<Void> ended = serve(environment, ready);
            RespGateway gateway = ready.get();
            await().until(() -> peers.watches.size() == 2);

            Files.writeString(file, config(port, peers.startDiscovery()));
            sendHangup();
            await().until(() -> peers.watches.size() == 3);

            Files.writeString(file, "{\"listen\":");
            try (ConfigReloader reloader = new ConfigReloader(environment, gateway)) {
                reloader.reload();
            }
            ScriptedPeers.Connection client =
                    new ScriptedPeers.Connection(
                            new Socket(InetAddress.getLoopbackAddress(), port));
            client.sendCommand("PING");
            assertEquals("+PONG", client.readReply());
            assertEquals(3, peers.watches.size());
            client.socket.close();
            gateway.stopNow();
            ended.get();
        }
    }

    private static String config(int port, SocketAddress discovery) throws Exception {
        return WarmUpConfig.listeningAt(port)
                .replace(
                        "\"discovery\": \"127.0.0.1:1\"",
                        "\"discovery\": \"127.0.0.1:"
                                + ((InetSocketAddress) discovery).getPort()
                                + "\"");
    }

    private static void sendHangup() throws Exception {
        Process kill =
                new ProcessBuilder("kill", "-HUP", Long.toString(ProcessHandle.current().pid()))
                        .start();
        assertEquals(0, kill.waitFor());
    }
}
