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
    public record Read(GatewayAccounts head, LatencyAccount book) {}

    private final SnapshotFile generations;

    /** Of this gateway; an empty name reads any gateway's. */
    public AccountFile(Path file, String gateway) {
        this.generations = new SnapshotFile(file, KIND, FORMAT, gateway, 1);
    }

    public void write(GatewayAccounts book) throws IOException {
        generations.write(WRITER.writeValueAsBytes(book), book.writtenAt());
    }

    /** The newest accounts that can be believed, or null; what can't be is logged and set aside. */
    public Read goOn() throws IOException {
        while (true) {
            SnapshotFile.Reading reading = generations.read();
            for (SnapshotFile.Refused refused : reading.refused()) {
                setAside(refused.file(), refused.why());
            }
            if (reading.found() == null) {
                return null;
            }
            try {
                return read(reading.found());
            } catch (IOException e) {
                setAside(reading.found().file(), e.getMessage());
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
    public static Read report(Path file) throws IOException {
        SnapshotFile.Reading reading = new SnapshotFile(file, KIND, FORMAT, "", 1).read();
        if (reading.found() == null) {
            throw new IOException(
                    reading.refused().isEmpty()
                            ? file + ": is not there"
                            : reading.refused().get(0).file()
                                    + ": "
                                    + reading.refused().get(0).why());
        }
        return read(reading.found());
    }

    private static Read read(SnapshotFile.Found found) throws IOException {
        try {
            GatewayAccounts head = READER.readValue(found.body());
            if (head == null
                    || head.gateway() == null
                    || head.names() == null
                    || head.told() == null
                    || head.kept() == null) {
                throw new IOException(found.file() + ": has no accounts in it");
            }
            return new Read(head, head.kept().book());
        } catch (JsonProcessingException e) {
            throw new IOException(found.file() + ": " + e.getOriginalMessage(), e);
        } catch (IllegalArgumentException e) {
            throw new IOException(found.file() + ": " + e.getMessage(), e);
        }
    }
}
