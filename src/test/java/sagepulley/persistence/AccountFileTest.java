package sagepulley.persistence;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sagepulley.accounts.Accounts;
import sagepulley.accounts.LatencyComponent;
import sagepulley.accounts.OperationTimer;
import sagepulley.accounts.StoredAccounts;
import sagepulley.model.QuotaTier;
import sagepulley.model.Reason;
import sagepulley.model.TrafficClass;

/** Tests that account files are read back unchanged and that damaged ones are rejected. */
class AccountFileTest {
    private static final TrafficClass TRAFFIC_CLASS =
            new TrafficClass(
                    0,
                    "read",
                    TrafficClass.Idempotency.IDEMPOTENT,
                    TrafficClass.DeduplicationScope.CELL,
                    0,
                    false,
                    false,
                    200,
                    0,
                    1000,
                    3,
                    0.2);
    @TempDir private Path tempDir;

    private static Accounts randomAccounts(long seed) {
        Random random = new Random(seed);
        Accounts accounts = new Accounts(Accounts.Bounds.DEFAULT, 1e12);
        double now = 0;
        for (int i = 0; i < 300; i++) {
            now += random.nextInt(20_000);
            OperationTimer timer =
                    accounts.begin(
                            1 + random.nextInt(5), TRAFFIC_CLASS, random.nextBoolean(), 1, now);
            accounts.waitStarted(
                    timer,
                    LatencyComponent.values()[random.nextInt(11)],
                    random.nextInt(4),
                    now + 1);
            accounts.attemptSent(
                    timer, 1 + random.nextInt(4), QuotaTier.values()[random.nextInt(3)], now + 10);
            accounts.attemptAnswered(
                    timer, random.nextInt(50), random.nextInt(50), random.nextInt(9), now + 100);
            accounts.end(
                    timer,
                    Accounts.End.values()[random.nextInt(4)],
                    Reason.OBJECTIVE_MISSED,
                    1,
                    now + 101);
        }
        return accounts;
    }

    private static GatewayAccounts stored(String gateway, Accounts accounts) {
        return new GatewayAccounts(
                gateway,
                5,
                Map.of(1L, "exams"),
                Map.of(3L, 7.5),
                StoredAccounts.of(accounts.snapshot()));
    }

    @Property(tries = 20, seed = "5")
    void writtenAccountsAreReadBackUnchanged(@ForAll long seed) throws IOException {
        Path directory = Files.createTempDirectory("accounts");
        Accounts accounts = randomAccounts(seed);
        new AccountFile(directory.resolve("a"), "gw").write(stored("gw", accounts));
        AccountFile.Loaded read = AccountFile.inspect(directory.resolve("a"));
        assertEquals(Map.of(1L, "exams"), read.stored().volumeNames());
        for (long volume : accounts.volumes()) {
            assertEquals(
                    accounts.report(volume, 0, 1e8).toString(),
                    read.account().report(volume, 1e12, 1e12 + 1e8).toString());
        }
        for (String name : new String[] {"a", "a.1"}) {
            Files.deleteIfExists(directory.resolve(name));
        }
        Files.delete(directory);
    }

    @Test
    void truncatedFileIsSetAsideAndEarlierGenerationIsLoaded() throws IOException {
        Path path = tempDir.resolve("accounts");
        AccountFile file = new AccountFile(path, "gw");
        file.write(stored("gw", randomAccounts(1)));
        file.write(stored("gw", randomAccounts(2)));
        byte[] intact = Files.readAllBytes(path);
        Files.write(path, Arrays.copyOf(intact, intact.length / 2));
        AccountFile.Loaded read = new AccountFile(path, "gw").load();
        assertEquals(
                randomAccounts(1).report(1, 0, 1e8).toString(),
                read.account().report(1, 1e12, 1e12 + 1e8).toString());
        assertTrue(Files.exists(tempDir.resolve("accounts.set-aside")));
    }

    @Test
    void bodiesWithoutAccountsAreRejected() throws IOException {
        Path path = tempDir.resolve("accounts");
        for (String body : new String[] {"", "not CBOR at all", "\u00a0", "\u00f6"}) {
            new SnapshotFile(path, "accounts", 1, "gw", 1)
                    .write(body.getBytes(StandardCharsets.ISO_8859_1), 1);
            assertThrows(IOException.class, () -> AccountFile.inspect(path), body);
        }
        assertNull(new AccountFile(path, "gw").load());
        assertTrue(Files.notExists(path));
    }

    /** A corrupted body with a valid checksum never causes an exception other than IOException. */
    @Property(tries = 200, seed = "9")
    void corruptedBodiesAreReadOrRejected(@ForAll int at, @ForAll byte value) throws IOException {
        Path directory = Files.createTempDirectory("accounts");
        Path path = directory.resolve("a");
        new AccountFile(path, "gw").write(stored("gw", randomAccounts(3)));
        byte[] body = new SnapshotFile(path, "accounts", 1, "gw", 1).read().snapshot().body();
        body[Math.floorMod(at, body.length)] = value;
        new SnapshotFile(path, "accounts", 1, "gw", 1).write(body, 1);
        try {
            AccountFile.inspect(path);
        } catch (IOException e) {
            assertTrue(e.getMessage().length() > 0);
        }
        Files.deleteIfExists(path);
        Files.deleteIfExists(directory.resolve("a.1"));
        Files.delete(directory);
    }
}
