package sagepulley.lifecycle;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import sagepulley.config.resp.ConfigException;
import sagepulley.config.resp.GatewayConfig;
import sagepulley.discovery.http.JsonReader;

/** Provides the built-in configuration of a warm-up run, which has one endpoint. */
public final class WarmUpConfig {
    private static final String RESOURCE = "/rehearsal.json";

    private WarmUpConfig() {}

    /** Returns the text of the configuration file. */
    public static String text() throws IOException {
        try (InputStream in = WarmUpConfig.class.getResourceAsStream(RESOURCE)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** Returns the text of the configuration file with a client listener on this port. */
    public static String listeningAt(int port) throws IOException {
        return text().replace(
                        "\"listen\": \"127.0.0.1:1\"", "\"listen\": \"127.0.0.1:" + port + "\"");
    }

    /**
     * Returns the configuration with these addresses of the listener, discovery and the endpoint.
     */
    public static GatewayConfig at(
            SocketAddress listen, SocketAddress discovery, SocketAddress endpoint)
            throws IOException, ConfigException {
        return GatewayConfig.parse(
                        JsonReader.readObject(text().getBytes(StandardCharsets.UTF_8)), Map.of())
                .withAddresses(listen, discovery, endpoint);
    }

    /**
     * Returns a loopback port that was free at the time of the call. The socket that finds it never
     * listens: a child process that is just being started holds a copy of it for a moment, which
     * would keep the port from a listener.
     */
    public static int freePort() throws IOException {
        try (Socket socket = new Socket()) {
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            return socket.getLocalPort();
        }
    }
}
