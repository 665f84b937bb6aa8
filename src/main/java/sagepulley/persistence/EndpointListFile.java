package sagepulley.persistence;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sagepulley.membership.StoredEndpointList;

/** The list of nodes on disk, with two earlier generations, of one site. */
public final class EndpointListFile {
    private static final String KIND = "nodes";
    private static final int FORMAT = 1;
    private static final int KEPT = 2;
    private static final JsonMapper JSON = new JsonMapper();
    private static final Logger LOG = LoggerFactory.getLogger(EndpointListFile.class);

    /**
     * What a look at the files found: the newest list that can be believed (null: none), and what
     * cannot.
     */
    public record ReadResult(
            StoredEndpointList list,
            Path file,
            long writtenAt,
            List<SnapshotFile.Rejected> rejected) {}

    private final SnapshotFile generations;
    private final Path file;

    /** Of this site; an empty name reads any site's. */
    public EndpointListFile(Path file, String site) {
        this.file = file;
        this.generations = new SnapshotFile(file, KIND, FORMAT, site, KEPT);
    }

    public void write(StoredEndpointList list, long now) throws IOException {
        generations.write(JSON.writeValueAsBytes(list), now);
    }

    /** Looks, and changes nothing on the disk. */
    public ReadResult inspect() {
        SnapshotFile.ReadResult reading = generations.read();
        List<SnapshotFile.Rejected> refused = new ArrayList<>(reading.rejected());
        if (reading.snapshot() == null) {
            return new ReadResult(null, file, 0, refused);
        }
        try {
            StoredEndpointList list =
                    JSON.readValue(reading.snapshot().body(), StoredEndpointList.class);
            if (list == null) {
                throw new IllegalArgumentException("no list of nodes");
            }
            return new ReadResult(
                    list.checked(),
                    reading.snapshot().file(),
                    reading.snapshot().writtenAt(),
                    refused);
        } catch (JsonProcessingException e) {
            refused.add(
                    new SnapshotFile.Rejected(reading.snapshot().file(), e.getOriginalMessage()));
        } catch (IOException | IllegalArgumentException e) {
            refused.add(new SnapshotFile.Rejected(reading.snapshot().file(), e.getMessage()));
        }
        return new ReadResult(null, reading.snapshot().file(), 0, refused);
    }

    /** The newest list that can be believed, or null; what can't be is logged and set aside. */
    public StoredEndpointList load() {
        while (true) {
            ReadResult look = inspect();
            for (SnapshotFile.Rejected refused : look.rejected()) {
                try {
                    LOG.atWarn()
                            .addKeyValue("file", refused.file())
                            .addKeyValue("why", refused.reason())
                            .addKeyValue("aside", generations.setAside(refused.file()))
                            .log("list of nodes not believed, set aside");
                } catch (IOException e) {
                    LOG.atWarn()
                            .addKeyValue("file", refused.file())
                            .addKeyValue("why", e.toString())
                            .log("list of nodes not believed, and cannot be set aside");
                    return look.list();
                }
            }
            if (look.list() != null || look.rejected().isEmpty()) {
                return look.list();
            }
        }
    }
}
