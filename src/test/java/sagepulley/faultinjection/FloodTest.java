package sagepulley.faultinjection;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against clients that take the event loop for themselves: others were answered late or
 * never while one sent small commands as fast as it could.
 */
@Timeout(60)
class FloodTest {
    private static final long FLOOD_MILLIS = 3_000;
    private static final int SOUND_CLIENTS = 6;
    private static final long MAX_MEMORY_KILOBYTES = 192 * 1024;
    private static final ClientLoad.ClientBehaviour SOUND =
            new ClientLoad.ClientBehaviour(100, 955, 0);

    private static final Set<Request.End> HAS_ANSWER =
            EnumSet.of(Request.End.REJECTED, Request.End.FAILED);

    @TempDir Path folder;

    @ParameterizedTest
    @CsvSource({
        "UNKNOWN_COMMAND, 1, true",
        "UNKNOWN_COMMAND, 6, true",
        "UNKNOWN_COMMAND, 6, false",
        "PING, 1, true",
        "PING, 12, true",
        "INVALID_FIELDS, 6, true",
        "PROTOCOL_ERROR, 6, true",
        "NEW_NAMES, 6, true",
        "READS, 6, true",
        "LARGE_WRITES, 6, true",
        "SHORT_CONNECTIONS, 12, true",
    })
    void soundClientsAreServedInTimeBesideAFlood(
            FloodingClient.Kind kind, int clients, boolean readsReplies) throws Exception {
        List<FloodingClient> flood = new ArrayList<>();
        try (TestFleet fleet = new TestFleet(folder, 1, 2)) {
            fleet.setOptions(DeployedOptions.read());
            GatewayProcess gateway = fleet.start(0).awaitReady();
            ClientLoad sound = fleet.startLoad(0, SOUND_CLIENTS, SOUND, 1);
            for (int i = 0; i < clients; i++) {
                flood.add(new FloodingClient(kind, fleet.listenAddress(0), 2, readsReplies));
            }
            Thread.sleep(FLOOD_MILLIS);
            flood.forEach(FloodingClient::close);
            sound.stop();
            assertAnsweredInTime(sound, kind, gateway.logText());
            assertTrue(gateway.peakMemoryKilobytes() < MAX_MEMORY_KILOBYTES);
        } finally {
            flood.forEach(FloodingClient::close);
        }
    }

    /** Checks the answers; a flood of valid reads may take the stores' capacity. */
    private static void assertAnsweredInTime(
            ClientLoad sound, FloodingClient.Kind kind, String log) {
        boolean takesCapacity =
                kind == FloodingClient.Kind.READS || kind == FloodingClient.Kind.NEW_NAMES;
        for (Request request : sound.requests) {
            long millis = TimeUnit.NANOSECONDS.toMillis(request.endedAt - request.sentAt);
            assertTrue(
                    request.end == Request.End.SERVED
                            || (takesCapacity && HAS_ANSWER.contains(request.end)),
                    () -> request + "\n" + log);
            assertTrue(
                    millis <= request.deadlineMillis,
                    () -> request + " answered after " + millis + " ms");
        }
    }
}
