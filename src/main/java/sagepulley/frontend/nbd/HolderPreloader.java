package sagepulley.frontend.nbd;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sagepulley.discovery.directory.DirectoryClient;
import sagepulley.placement.ExtentHolders;

/**
 * Looks up the holders of all extents in batches at the start of the gateway. Confined to the
 * engine's event loop.
 */
final class HolderPreloader {
    private static final Logger LOG = LoggerFactory.getLogger(HolderPreloader.class);

    private final DirectoryClient directory;
    private final ExtentLocator locator;
    private final Deque<ExportedVolume> remaining;
    private final Runnable onCompleted;

    /**
     * @param onCompleted runs once all holders are loaded or a lookup has failed; the holders that
     *     are missing then are looked up on demand
     */
    HolderPreloader(
            DirectoryClient directory,
            ExtentLocator locator,
            Collection<ExportedVolume> volumes,
            Runnable onCompleted) {
        this.directory = directory;
        this.locator = locator;
        this.remaining = new ArrayDeque<>(volumes);
        this.onCompleted = onCompleted;
    }

    /** Looks up the holders of the next volume; runs the callback if none is left. */
    void run() {
        if (remaining.isEmpty()) {
            onCompleted.run();
            return;
        }
        ExportedVolume volume = remaining.peek();
        new HolderLookup(
                        directory,
                        volume.settings.id(),
                        locator.extentCount(volume),
                        new VolumeListener(volume.settings.id()))
                .run();
    }

    /** Records the holders of one volume, then goes on to the next. */
    private final class VolumeListener implements HolderLookup.Listener {
        private final int volumeId;

        VolumeListener(int volumeId) {
            this.volumeId = volumeId;
        }

        @Override
        public void found(long firstExtent, int[] cells) {
            for (int i = 0; i < cells.length; i++) {
                if (cells[i] >= 0) {
                    locator.holderFound(ExtentHolders.key(volumeId, firstExtent + i), cells[i]);
                }
            }
        }

        @Override
        public void ended(String failure) {
            if (failure != null) {
                LOG.atWarn().addKeyValue("why", failure).log("preloading extent holders failed");
                onCompleted.run();
                return;
            }
            remaining.remove();
            run();
        }
    }
}
