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

/** Stores the endpoint list of a site on disk (JSON), with two earlier generations. */
public final class EndpointListFile {
    private static final String KIND = "nodes";
    private static final int FORMAT = 1;
    private static final int EARLIER_GENERATIONS = 2;
    private static final JsonMapper JSON = new JsonMapper();
    private static final Logger LOG = LoggerFactory.getLogger(EndpointListFile.class);

    /**
     * The result of reading all generations.
     *
     * @param list the list in the newest valid snapshot; null if there is no such snapshot or its
     *     list is invalid
     * @param file the newest valid snapshot, or the configured path if there is none
     * @param writtenAt time of the write in wall-clock milliseconds; 0 if there is no list
     * @param rejected invalid files, with the reasons
     */
    public record ReadResult(
            StoredEndpointList list,
            Path file,
            long writtenAt,
            List<SnapshotFile.Rejected> rejected) {}

    private final SnapshotFile snapshots;
    private final Path file;

    /** Creates the file of a site; with an empty name, files of any site are read. */
    public EndpointListFile(Path file, String site) {
        this.file = file;
        this.snapshots = new SnapshotFile(file, KIND, FORMAT, site, EARLIER_GENERATIONS);
    }

    /** Replaces the stored list; the time is in wall-clock milliseconds. */
    public void write(StoredEndpointList list, long now) throws IOException {
        snapshots.write(JSON.writeValueAsBytes(list), now);
    }

    /** Reads all generations without changing any file. */
    public ReadResult inspect() {
        SnapshotFile.ReadResult result = snapshots.read();
        List<SnapshotFile.Rejected> rejected = new ArrayList<>(result.rejected());
        SnapshotFile.Snapshot newest = result.snapshot();
        if (newest == null) {
            return new ReadResult(null, file, 0, rejected);
        }
        try {
            StoredEndpointList list = decode(newest);
            return new ReadResult(list, newest.file(), newest.writtenAt(), rejected);
        } catch (InvalidSnapshotException e) {
            rejected.add(new SnapshotFile.Rejected(newest.file(), e.reason()));
            return new ReadResult(null, newest.file(), 0, rejected);
        }
    }

    private static StoredEndpointList decode(SnapshotFile.Snapshot snapshot)
            throws InvalidSnapshotException {
        try {
            StoredEndpointList list = JSON.readValue(snapshot.body(), StoredEndpointList.class);
            if (list == null) {
                throw new InvalidSnapshotException(
                        snapshot.file(), "body contains no endpoint list");
            }
            return list.checked();
        } catch (JsonProcessingException e) {
            throw new InvalidSnapshotException(snapshot.file(), e.getOriginalMessage(), e);
        } catch (InvalidSnapshotException e) {
            throw e;
        } catch (IOException | IllegalArgumentException e) {
            throw new InvalidSnapshotException(snapshot.file(), e.getMessage(), e);
        }
    }

    /**
     * Returns the newest valid list, or null if there is none. Logs invalid files and sets them
     * aside.
     */
    public StoredEndpointList load() {
        while (true) {
            ReadResult result = inspect();
            for (SnapshotFile.Rejected rejected : result.rejected()) {
                try {
                    snapshots.setAside(rejected.file(), rejected.reason(), LOG);
                } catch (IOException e) {
                    LOG.atWarn()
                            .addKeyValue("file", rejected.file())
                            .addKeyValue("why", e.toString())
                            .log("setting aside invalid nodes file failed");
                    return result.list();
                }
            }
            if (result.list() != null || result.rejected().isEmpty()) {
                return result.list();
            }
        }
    }
}
