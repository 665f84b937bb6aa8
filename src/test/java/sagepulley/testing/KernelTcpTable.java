package sagepulley.testing;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Reads the kernel's table of TCP connections, which shows what is unread at the receiving end. */
public final class KernelTcpTable {
    private static final List<Path> TABLES =
            List.of(Path.of("/proc/net/tcp"), Path.of("/proc/net/tcp6"));
    private static final int CLOSE_WAIT = 8;

    private KernelTcpTable() {}

    /** Waits until the FIN of the remote port has arrived at the local port. */
    public static void awaitFin(int localPort, int remotePort) {
        await().until(
                        () ->
                                findConnections(localPort, remotePort).stream()
                                        .anyMatch(
                                                fields ->
                                                        Integer.parseInt(fields[3], 16)
                                                                == CLOSE_WAIT));
    }

    /** Waits until bytes are unread at the local port. */
    public static void awaitUnread(int localPort, int remotePort) {
        await().until(
                        () ->
                                findConnections(localPort, remotePort).stream()
                                        .anyMatch(
                                                fields ->
                                                        Long.parseLong(fields[4].split(":")[1], 16)
                                                                > 0));
    }

    /** Waits until the local port's connection no longer exists. */
    public static void awaitClosed(int localPort, int remotePort) {
        await().until(() -> findConnections(localPort, remotePort).isEmpty());
    }

    private static List<String[]> findConnections(int localPort, int remotePort)
            throws IOException {
        assumeTrue(Files.isReadable(TABLES.get(0)), "needs the TCP table of Linux");
        List<String[]> connections = new ArrayList<>();
        for (Path table : TABLES) {
            if (!Files.isReadable(table)) {
                continue;
            }
            for (String line : Files.readAllLines(table)) {
                String[] fields = line.trim().split("\\s+");
                if (fields[1].endsWith(":" + hexPort(localPort))
                        && fields[2].endsWith(":" + hexPort(remotePort))) {
                    connections.add(fields);
                }
            }
        }
        return connections;
    }

    private static String hexPort(int port) {
        return String.format("%04X", port);
    }
}
