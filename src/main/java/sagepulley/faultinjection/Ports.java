package sagepulley.faultinjection;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;

/**
 * Allocates loopback ports for listeners that are closed and reopened. They lie below the ephemeral
 * port range and are never allocated twice in one JVM.
 */
final class Ports {
    private static final int FIRST = 12_000;
    private static final int COUNT = 18_000;
    private static final int MAX_BIND_ATTEMPTS = 100;
    private static final long BIND_RETRY_MILLIS = 10;
    private static final Random RANDOM = new Random();
    private static final Set<Integer> ALLOCATED = new HashSet<>();

    private Ports() {}

    /** Returns a loopback address with an unused port. */
    static synchronized InetSocketAddress allocate() {
        while (true) {
            int port = FIRST + RANDOM.nextInt(COUNT);
            if (ALLOCATED.add(port) && isFree(port)) {
                return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
            }
        }
    }

    /**
     * Listens on a port whose former listener was just closed, and retries while the port is still
     * in use.
     */
    static ServerSocket listen(int port, int backlog) throws IOException {
        for (int attempts = 0; ; attempts++) {
            ServerSocket listener = new ServerSocket();
            try {
                listener.setReuseAddress(true);
                listener.bind(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), port), backlog);
                return listener;
            } catch (BindException inUse) {
                listener.close();
                if (attempts == MAX_BIND_ATTEMPTS) {
                    throw inUse;
                }
                pause();
            }
        }
    }

    private static void pause() {
        try {
            Thread.sleep(BIND_RETRY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static boolean isFree(int port) {
        try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return probe.isBound();
        } catch (IOException inUse) {
            return false;
        }
    }
}
