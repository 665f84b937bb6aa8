package sagepulley.faultinjection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against lost requests in a planned stop while clients keep their connections, a store
 * hangs and the process is suspended.
 */
@Timeout(60)
class StopTest {
    private static final long KILL_AFTER_MILLIS = TestFleet.MAX_DEADLINE_MILLIS + 700;
    private static final String SUSPEND_SECONDS = "0.14";

    /** When the gateway stops accepting requests, and just before the kill. */
    private static final long[] SUSPENDED_BEFORE_KILL_MILLIS = {620, 160};

    @TempDir Path folder;

    @Test
    void answersAllRequestsAndExitsBeforeEarliestKillDespiteSuspensions() throws Exception {
        try (TestFleet fleet = new TestFleet(folder, 1, 4)) {
            GatewayProcess gateway = fleet.start(0).awaitReady();
            ClientLoad load = fleet.startLoad(0, 12, ClientLoad.ClientBehaviour.STEADY, 6);
            Thread.sleep(1_500);
            fleet.stores.get(0).unresponsive = true;
            long termSentAt = System.nanoTime();
            gateway.signal("TERM");
            Thread.sleep(400);
            load.suspendNewConnections(true);
            for (long beforeKill : SUSPENDED_BEFORE_KILL_MILLIS) {
                sleepUntil(termSentAt, KILL_AFTER_MILLIS - beforeKill);
                if (gateway.isAlive()) {
                    gateway.suspend(SUSPEND_SECONDS);
                }
            }
            sleepUntil(termSentAt, KILL_AFTER_MILLIS);
            boolean alive = gateway.isAlive();
            long killSentAt = System.nanoTime();
            gateway.kill();
            load.stop();
            List<Request> requests = fleet.requests();
            List<String> violations =
                    new AnswerRule(
                                    List.of(
                                            new AnswerRule.Termination(
                                                    0, termSentAt, killSentAt, System.nanoTime())),
                                    false)
                            .violations(fleet.arrivals(), requests);
            assertEquals(List.of(), violations);
            assertFalse(alive, "the gateway had not exited by the earliest kill");
            assertEquals(0, gateway.awaitExitCode(), gateway::logText);
            long lastSent =
                    requests.stream()
                            .filter(each -> each.end == Request.End.SERVED)
                            .mapToLong(each -> each.sentAt - termSentAt)
                            .max()
                            .orElse(0);
            assertTrue(
                    TimeUnit.NANOSECONDS.toMillis(lastSent) > TestFleet.MAX_DEADLINE_MILLIS - 200,
                    "expected service until shortly before the stop, last served request sent "
                            + lastSent
                            + " ns after SIGTERM");
        }
    }

    private static void sleepUntil(long from, long millis) throws InterruptedException {
        Thread.sleep(Math.max(0, millis - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from)));
    }
}
