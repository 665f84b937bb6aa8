package sagepulley.persistence;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;
import java.nio.file.Path;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sagepulley.accounts.LatencyAccount;

/** Stores a gateway's latency accounts across restarts (CBOR), with one earlier generation. */
public final class AccountFile {
    private static final String KIND = "accounts";
    private static final int FORMAT = 1;
    private static final int EARLIER_GENERATIONS = 1;
    private static final CBORMapper CBOR = new CBORMapper();
    private static final ObjectWriter WRITER = CBOR.writerFor(GatewayAccounts.class);
    private static final ObjectReader READER = CBOR.readerFor(GatewayAccounts.class);
    private static final Logger LOG = LoggerFactory.getLogger(AccountFile.class);

    /** The content of a file: the stored form, and the account restored from it and validated. */
    public record Loaded(GatewayAccounts stored, LatencyAccount account) {}

    private final SnapshotFile snapshots;

    /** Creates the file of a gateway; with an empty name, files of any gateway are read. */
    public AccountFile(Path file, String gateway) {
        this.snapshots = new SnapshotFile(file, KIND, FORMAT, gateway, EARLIER_GENERATIONS);
    }

    /** Replaces the stored accounts. */
    public void write(GatewayAccounts accounts) throws IOException {
        snapshots.write(WRITER.writeValueAsBytes(accounts), accounts.writtenAt());
    }

    /**
     * Returns the newest valid accounts, or null if there are none. Logs invalid files and sets
     * them aside.
     *
     * @throws IOException if a file cannot be set aside
     */
    public Loaded load() throws IOException {
        while (true) {
            SnapshotFile.ReadResult result = snapshots.read();
            for (SnapshotFile.Rejected rejected : result.rejected()) {
                snapshots.setAside(rejected.file(), rejected.reason(), LOG);
            }
            if (result.snapshot() == null) {
                return null;
            }
            try {
                return decode(result.snapshot());
            } catch (IOException e) {
                snapshots.setAside(result.snapshot().file(), e.getMessage(), LOG);
            }
        }
    }

    /**
     * Returns the accounts in the newest valid snapshot, of any gateway, without changing any file.
     *
     * @throws IOException if there is no valid snapshot or the newest one has no valid accounts
     */
    public static Loaded inspect(Path file) throws IOException {
        SnapshotFile.ReadResult result =
                new SnapshotFile(file, KIND, FORMAT, "", EARLIER_GENERATIONS).read();
        if (result.snapshot() != null) {
            return decode(result.snapshot());
        }
        if (result.rejected().isEmpty()) {
            throw new InvalidSnapshotException(file, "file does not exist");
        }
        SnapshotFile.Rejected first = result.rejected().get(0);
        throw new InvalidSnapshotException(first.file(), first.reason());
    }

    private static Loaded decode(SnapshotFile.Snapshot snapshot) throws IOException {
        try {
            GatewayAccounts stored = READER.readValue(snapshot.body());
            if (stored == null || !stored.isComplete()) {
                throw new InvalidSnapshotException(
                        snapshot.file(), "body contains no complete accounts");
            }
            return new Loaded(stored, stored.accounts().toAccount());
        } catch (JsonProcessingException e) {
            throw new InvalidSnapshotException(snapshot.file(), e.getOriginalMessage(), e);
        } catch (IllegalArgumentException e) {
            throw new InvalidSnapshotException(snapshot.file(), e.getMessage(), e);
        }
    }
}
