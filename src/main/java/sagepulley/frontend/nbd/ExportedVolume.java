package sagepulley.frontend.nbd;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import sagepulley.codec.nbd.Export;
import sagepulley.config.SiteConfig;
import sagepulley.config.VolumeSettings;
import sagepulley.model.Volume;

/**
 * A volume that is exported: its settings, its NBD export, and the writes at each node that are not
 * durable yet. Its mutable state is confined to the engine's event loop.
 */
final class ExportedVolume {
    /** Minimum block size of the exports ('Block size constraints'). */
    private static final int MIN_BLOCK_BYTES = 512;

    /** Preferred block size of the exports. */
    private static final int PREFERRED_BLOCK_BYTES = 4096;

    final VolumeSettings settings;
    final Volume volume;
    final Export export;

    /** Acknowledged writes that may not be durable yet. */
    final UnflushedWrites unflushedWrites = new UnflushedWrites();

    ExportedVolume(VolumeSettings settings, Volume volume, Export export) {
        this.settings = settings;
        this.volume = volume;
        this.export = export;
    }

    /** Returns all volumes of a site by name, in the order of the site file. */
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
        // A flush covers every write that this gateway acknowledged, on any connection.
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
}
