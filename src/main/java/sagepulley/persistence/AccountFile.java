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

/**
 * The file in which a gateway's latency accounts survive its restarts, with one earlier generation.
 */
public final class AccountFile {
    private static final String KIND = "accounts";
    private static final int FORMAT = 1;
    private static final CBORMapper CBOR = new CBORMapper();
    private static final ObjectWriter WRITER = CBOR.writerFor(GatewayAccounts.class);
    private static final ObjectReader READER = CBOR.readerFor(GatewayAccounts.class);
    private static final Logger LOG = LoggerFactory.getLogger(AccountFile.class);

    /** What a file says, and its figures checked. */
    public record Loaded(GatewayAccounts stored, LatencyAccount account) {}

    private final SnapshotFile generations;

    /** Of this gateway; an empty name reads any gateway's. */
    public AccountFile(Path file, String gateway) {
        this.generations = new SnapshotFile(file, KIND, FORMAT, gateway, 1);
    }

    public void write(GatewayAccounts book) throws IOException {
        generations.write(WRITER.writeValueAsBytes(book), book.writtenAt());
    }

    /** The newest accounts that can be believed, or null; what can't be is logged and set aside. */
    public Loaded load() throws IOException {
        while (true) {
            SnapshotFile.ReadResult reading = generations.read();
            for (SnapshotFile.Rejected refused : reading.rejected()) {
                setAside(refused.file(), refused.reason());
            }
            if (reading.snapshot() == null) {
                return null;
            }
            try {
                return read(reading.snapshot());
            } catch (IOException e) {
                setAside(reading.snapshot().file(), e.getMessage());
            }
        }
    }

    private void setAside(Path file, String why) throws IOException {
        LOG.atWarn()
                .addKeyValue("file", file)
                .addKeyValue("why", why)
                .addKeyValue("aside", generations.setAside(file))
                .log("accounts not believed, set aside");
    }

    /**
     * A file's accounts, for a report: nothing is changed on the disk.
     *
     * @throws IOException if there is none that can be believed
     */
    public static Loaded report(Path file) throws IOException {
        SnapshotFile.ReadResult reading = new SnapshotFile(file, KIND, FORMAT, "", 1).read();
        if (reading.snapshot() == null) {
            throw new IOException(
                    reading.rejected().isEmpty()
                            ? file + ": is not there"
                            : reading.rejected().get(0).file()
                                    + ": "
                                    + reading.rejected().get(0).reason());
        }
        return read(reading.snapshot());
    }

    private static Loaded read(SnapshotFile.Snapshot found) throws IOException {
        try {
            GatewayAccounts head = READER.readValue(found.body());
            if (head == null
                    || head.gateway() == null
                    || head.volumeNames() == null
                    || head.versionNotifiedAt() == null
                    || head.accounts() == null) {
                throw new IOException(found.file() + ": has no accounts in it");
            }
            return new Loaded(head, head.accounts().toAccount());
        } catch (JsonProcessingException e) {
            throw new IOException(found.file() + ": " + e.getOriginalMessage(), e);
        } catch (IllegalArgumentException e) {
            throw new IOException(found.file() + ": " + e.getMessage(), e);
        }
    }
}
