package sagepulley.faultinjection;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/**
 * Guards against a gateway that stops following discovery or configuration changes when idle
 * clients use up its descriptors.
 */
@Timeout(120)
@Execution(ExecutionMode.CONCURRENT)
class DescriptorsTest {
    /** The JVM itself may use about 90 when its libraries are separate files. */
    private static final int DESCRIPTORS = 160;

    private static final int IDLE_CLIENTS = 150;

    /** Covers the 6 s until notified, the drain grace of 1 s, and some seconds of sending. */
    private static final long OBSERVED_MILLIS = 12_000;

    @TempDir Path folder;

    @Test
    void keepsDrainGraceAndReloadsWhileIdleClientsHoldAllDescriptors() throws Exception {
        List<Socket> idle = new ArrayList<>();
        try (TestFleet fleet = new TestFleet(folder, 1, 4)) {
            fleet.setLauncher("sh", "-c", "ulimit -n " + DESCRIPTORS + "; exec \"$0\" \"$@\"");
            GatewayProcess gateway = fleet.start(0).awaitReady();
            fleet.startLoad(0, 6, ClientLoad.ClientBehaviour.STEADY, 11);
            Thread.sleep(1_000);
            openIdleConnections(idle, gateway);
            fleet.discovery.stop();
            FleetChecks.drain(fleet, 0);
            Thread.sleep(1_000);
            fleet.moveDiscovery(gateway);
            await().until(() -> gateway.logText().contains("Too many open files"));
            fleet.discovery.restore();
            FleetChecks.drain(fleet, 1);
            Thread.sleep(OBSERVED_MILLIS);
            FleetChecks.assertNoSendAfterGrace(fleet);
            idle.forEach(BackgroundTasks::close);
            Thread.sleep(3_000);
            FleetChecks.assertServedAgain(fleet);
            FleetChecks.drain(fleet, 2);
            Thread.sleep(OBSERVED_MILLIS);
            FleetChecks.assertNoSendAfterGrace(fleet);
            assertTrue(gateway.isAlive(), gateway::logText);
        } finally {
            idle.forEach(BackgroundTasks::close);
        }
    }

    private static void openIdleConnections(List<Socket> idle, GatewayProcess gateway)
            throws InterruptedException {
        for (int i = 0; i < IDLE_CLIENTS; i++) {
            Socket socket = new Socket();
            idle.add(socket);
            try {
                socket.connect(gateway.listen, 200);
            } catch (IOException full) {
                return;
            }
            Thread.sleep(5);
        }
    }
}
