package sagepulley.frontend.nbd;

import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import sagepulley.codec.nbd.Export;
import sagepulley.config.SiteConfig;
import sagepulley.config.VolumeSettings;
import sagepulley.model.Volume;

/**
 * A volume in service: its settings, its export, and which nodes may hold writes that are not
 * durable yet. What changes is confined to the engine's event loop.
 */
final class ExportedVolume {
    /** Minimum block size of the exports ('Block size constraints'). */
    private static final int MIN_BLOCK_BYTES = 512;

    /** Preferred block size of the exports. */
    private static final int PREFERRED_BLOCK_BYTES = 4096;

    /** Writes that a node acknowledged since the last flush. */
    static final class UnflushedWrites {
        /** The node's incarnation, by its start in wall-clock milliseconds. */
        long nodeStartedAt;

        long writeCount;
    }

    final VolumeSettings settings;
    final Volume volume;
    final Export export;

    /** Writes that may not be durable yet, by the cell whose node acknowledged them. */
    final Map<Integer, UnflushedWrites> unflushedByCell = new HashMap<>();

    ExportedVolume(VolumeSettings settings, Volume volume, Export export) {
        this.settings = settings;
        this.volume = volume;
        this.export = export;
    }

    /** All volumes of a site by name, in the order of its file. */
    static Map<String, ExportedVolume> all(SiteConfig site) {
        Map<String, ExportedVolume> volumes = new LinkedHashMap<>();
        for (VolumeSettings settings : site.volumes()) {
            Volume volume =
                    new Volume(settings.id(), site.deployment().plans().get(settings.plan()));
            volume.gatewayCount = settings.gateways();
            volumes.put(
                    settings.name(),
                    new ExportedVolume(settings, volume, export(settings, site.maxRequestBytes())));
        }
        return Collections.unmodifiableMap(volumes);
    }

    private static Export export(VolumeSettings settings, int maxBlockBytes) {
        // A flush reaches every write acknowledged by this gateway, whatever connection it came by.
        boolean multiConn = true;
        return new Export(
                settings.name(),
                settings.description(),
                settings.sizeBytes(),
                settings.readOnly(),
                multiConn,
                MIN_BLOCK_BYTES,
                PREFERRED_BLOCK_BYTES,
                maxBlockBytes);
    }

    /** A write was acknowledged that its node may not have durably. */
    void recordWrite(int cell, long nodeStartedAt) {
        UnflushedWrites unflushed = unflushedByCell.get(cell);
        if (unflushed == null) {
            unflushed = new UnflushedWrites();
            unflushed.nodeStartedAt = nodeStartedAt;
            unflushedByCell.put(cell, unflushed);
        }
        unflushed.writeCount++;
    }

    /** A flush was acknowledged that began when the volume had so many unflushed writes there. */
    void recordFlush(int cell, long writeCount) {
        UnflushedWrites unflushed = unflushedByCell.get(cell);
        if (unflushed != null && unflushed.writeCount == writeCount) {
            unflushedByCell.remove(cell);
        }
    }
}
