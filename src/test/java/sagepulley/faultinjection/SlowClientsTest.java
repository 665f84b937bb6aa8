package sagepulley.faultinjection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against hundreds of clients that write slowly or stop half way: a process passed its
 * memory limit and was killed.
 */
@Timeout(60)
class SlowClientsTest {
    private static final long RUN_MILLIS = 3_000;
    private static final int SOCKETS = 1_024;
    private static final int SOUND_CLIENTS = 6;
    private static final ClientLoad.ClientBehaviour SOUND =
            new ClientLoad.ClientBehaviour(100, 955, 0);

    @TempDir Path folder;

    @ParameterizedTest
    @CsvSource({
        "STOPPED_WRITE, 600",
        "TRICKLED_WRITE, 600",
        "SHORT_ARGUMENTS, 600",
        "SHORT_FIELDS, 600",
        "REPLIES_NOT_READ, 300",
    })
    void memoryIsLeftForSoundClients(SlowClients.Kind kind, int clients) throws Exception {
        try (TestFleet fleet = new TestFleet(folder, 1, 2)) {
            fleet.setOptions(DeployedOptions.read());
            fleet.setSockets(SOCKETS);
            GatewayProcess gateway = fleet.start(0).awaitReady();
            ClientLoad sound = fleet.startLoad(0, SOUND_CLIENTS, SOUND, 1);
            SlowClients slow = new SlowClients(kind, fleet.listenAddress(0), clients);
            Thread.sleep(RUN_MILLIS);
            sound.stop();
            slow.close();
            List<Request> unserved =
                    sound.requests.stream()
                            .filter(request -> request.end != Request.End.SERVED)
                            .toList();
            assertEquals(List.of(), unserved, gateway::logText);
            assertTrue(sound.requests.size() > SOUND_CLIENTS);
            assertTrue(gateway.isAlive());
            assertFalse(gateway.logText().contains("OutOfMemoryError"));
            assertTrue(gateway.peakMemoryKilobytes() < TestFleet.DEPLOYED_MEMORY_KILOBYTES);
        }
    }
}
