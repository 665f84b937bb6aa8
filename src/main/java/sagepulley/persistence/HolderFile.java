package sagepulley.persistence;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Which cell holds which extent, on disk, of one site: for each volume the cells of its extents in
 * order (-1: not known). One earlier generation is left.
 */
public final class HolderFile {
    /** Extents of all volumes together that a file can hold. */
    public static final int MAX_EXTENTS = HolderCodec.MAX_EXTENTS;

    private static final String KIND = "holders";
    private static final int FORMAT = 1;
    private static final int EARLIER_GENERATIONS = 1;
    private static final Logger LOG = LoggerFactory.getLogger(HolderFile.class);

    private final SnapshotFile snapshots;

    /** Of this site; an empty name reads any site's. */
    public HolderFile(Path file, String site) {
        this.snapshots = new SnapshotFile(file, KIND, FORMAT, site, EARLIER_GENERATIONS);
    }

    /** Puts new holders in place, by volume; the time is wall-clock milliseconds. */
    public void write(Map<Integer, int[]> cells, long now) throws IOException {
        snapshots.write(HolderCodec.encode(cells), now);
    }

    /** The newest valid holders, or none; invalid files are logged and set aside. */
    public Map<Integer, int[]> load() {
        SnapshotFile.ReadResult result = snapshots.read();
        for (SnapshotFile.Rejected rejected : result.rejected()) {
            setAside(rejected.file(), rejected.reason());
        }
        SnapshotFile.Snapshot newest = result.snapshot();
        if (newest == null) {
            return Map.of();
        }
        try {
            return HolderCodec.decode(newest.body(), newest.file());
        } catch (InvalidSnapshotException e) {
            setAside(newest.file(), e.reason());
            return Map.of();
        }
    }

    private void setAside(Path file, String reason) {
        try {
            snapshots.setAside(file, reason, LOG);
        } catch (IOException e) {
            LOG.atWarn()
                    .addKeyValue("file", file)
                    .addKeyValue("why", e.toString())
                    .log("invalid holders file cannot be set aside");
        }
    }
}
