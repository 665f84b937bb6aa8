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
    static final class Unflushed {
        long since;
        long writes;
    }

    final VolumeSettings line;
    final Volume volume;
    final Export export;

    /** By cell. */
    final Map<Integer, Unflushed> unflushed = new HashMap<>();

    ExportedVolume(VolumeSettings line, Volume volume, Export export) {
        this.line = line;
        this.volume = volume;
        this.export = export;
    }

    /** A write was acknowledged that its node may not have durably. */
    void wrote(int cell, long nodeStart) {
        Unflushed at = unflushed.get(cell);
        if (at == null) {
            at = new Unflushed();
            at.since = nodeStart;
            unflushed.put(cell, at);
        }
        at.writes++;
    }

    /** A flush that began when so many writes stood has ended well. */
    void flushed(int cell, long writes) {
        Unflushed at = unflushed.get(cell);
        if (at != null && at.writes == writes) {
            unflushed.remove(cell);
        }
    }
}
