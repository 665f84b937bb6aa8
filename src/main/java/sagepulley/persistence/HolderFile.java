package sagepulley.persistence;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stores the extent holders of a site on disk, with one earlier generation: for each volume, the
 * cells of its extents in order, with -1 for an unknown cell.
 */
public final class HolderFile {
    /** Maximum number of extents of all volumes together. */
    public static final int MAX_EXTENTS = HolderCodec.MAX_EXTENTS;

    private static final String KIND = "holders";
    private static final int FORMAT = 1;
    private static final int EARLIER_GENERATIONS = 1;
    private static final Logger LOG = LoggerFactory.getLogger(HolderFile.class);

    private final SnapshotFile snapshots;

    /** Creates the file of a site; with an empty name, files of any site are read. */
    public HolderFile(Path file, String site) {
        this.snapshots = new SnapshotFile(file, KIND, FORMAT, site, EARLIER_GENERATIONS);
    }

    /** Replaces the stored holders, by volume id; the time is in wall-clock milliseconds. */
    public void write(Map<Integer, int[]> cells, long now) throws IOException {
        snapshots.write(HolderCodec.encode(cells), now);
    }

    /**
     * Returns the holders in the newest valid snapshot by volume id, or an empty map if there is no
     * such snapshot or its holders are invalid. Logs invalid files and sets them aside.
     */
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
                    .log("setting aside invalid holders file failed");
        }
    }
}
