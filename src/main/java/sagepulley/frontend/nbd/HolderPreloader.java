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
    private long nextExtent;

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

    /** Looks up the next batch; runs the callback if no batch is left. */
    void run() {
        if (remaining.isEmpty()) {
            onCompleted.run();
            return;
        }
        ExportedVolume volume = remaining.peek();
        long first = nextExtent;
        long extents = locator.extentCount(volume);
        int count = (int) Math.min(ExtentLocator.MAX_EXTENTS_PER_STEP, extents - first);
        directory.lookup(
                volume.settings.id(),
                first,
                count,
                (cells, failure) -> {
                    if (cells == null) {
                        LOG.atWarn()
                                .addKeyValue("why", failure)
                                .log("preloading extent holders failed");
                        onCompleted.run();
                        return;
                    }
                    recordHolders(volume.settings.id(), first, cells);
                    nextExtent = first + count;
                    if (nextExtent >= extents) {
                        remaining.remove();
                        nextExtent = 0;
                    }
                    run();
                });
    }

    private void recordHolders(int volumeId, long first, int[] cells) {
        for (int i = 0; i < cells.length; i++) {
            if (cells[i] >= 0) {
                locator.holderFound(ExtentHolders.key(volumeId, first + i), cells[i]);
            }
        }
    }
}
