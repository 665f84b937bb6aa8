package sagepulley.frontend.nbd;

import java.util.HashMap;
import java.util.Map;
import sagepulley.codec.nbd.Export;
import sagepulley.config.VolumeSettings;
import sagepulley.model.Volume;

/**
 * A volume in service: its figures, its export, and the cells whose nodes may hold writes not yet
 * durable.
 */
final class ExportedVolume {
    /** Writes that were acknowledged since the last flush, and the start of the node that did. */
    static final class UnflushedWrites {
        long nodeStartedAt;
        long writeCount;
    }

    final VolumeSettings settings;
    final Volume volume;
    final Export export;

    /** By cell. */
    final Map<Integer, UnflushedWrites> unflushedByCell = new HashMap<>();

    ExportedVolume(VolumeSettings line, Volume volume, Export export) {
        this.settings = line;
        this.volume = volume;
        this.export = export;
    }

    /** A write was acknowledged that its node may not have durably. */
    void recordWrite(int cell, long nodeStart) {
        UnflushedWrites unflushed = unflushedByCell.get(cell);
        if (unflushed == null) {
            unflushed = new UnflushedWrites();
            unflushed.nodeStartedAt = nodeStart;
            unflushedByCell.put(cell, unflushed);
        }
        unflushed.writeCount++;
    }

    /** A flush that began when so many writes stood has ended well. */
    void recordFlush(int cell, long writeCount) {
        UnflushedWrites unflushed = unflushedByCell.get(cell);
        if (unflushed != null && unflushed.writeCount == writeCount) {
            unflushedByCell.remove(cell);
        }
    }
}
