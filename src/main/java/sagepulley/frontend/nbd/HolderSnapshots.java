package sagepulley.frontend.nbd;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import sagepulley.persistence.HolderFile;

/**
 * Copies the known holders of all extents for storage on disk. A copy is spread over several tasks
 * so that it does not block the engine's event loop.
 */
final class HolderSnapshots {
    private final EventLoop loop;
    private final ExtentLocator locator;
    private final Collection<ExportedVolume> volumes;

    HolderSnapshots(EventLoop loop, ExtentLocator locator, Collection<ExportedVolume> volumes) {
        this.loop = loop;
        this.locator = locator;
        this.volumes = volumes;
    }

    /**
     * Returns the cell of each extent (-1 for none) by volume id, or null if nothing has changed
     * since the last snapshot. May be called from any thread.
     */
    CompletableFuture<Map<Integer, int[]>> take() {
        CompletableFuture<Map<Integer, int[]>> snapshot = new CompletableFuture<>();
        loop.execute(
                () -> {
                    if (locator.checkAndClearChanged()) {
                        new Copy(snapshot).step();
                    } else {
                        snapshot.complete(null);
                    }
                });
        return snapshot;
    }

    /** A snapshot in progress. */
    private final class Copy {
        private final CompletableFuture<Map<Integer, int[]>> snapshot;
        private final Map<Integer, int[]> cellsByVolume = new LinkedHashMap<>();
        private List<ExportedVolume> remainingVolumes = new ArrayList<>(volumes);
        private long remainingExtents = HolderFile.MAX_EXTENTS;
        private int nextExtent;

        Copy(CompletableFuture<Map<Integer, int[]>> snapshot) {
            this.snapshot = snapshot;
        }

        void step() {
            if (remainingVolumes.isEmpty() || remainingExtents <= 0) {
                snapshot.complete(cellsByVolume);
                return;
            }
            ExportedVolume volume = remainingVolumes.get(0);
            int volumeId = volume.settings.id();
            int length = (int) Math.min(remainingExtents, locator.extentCount(volume));
            int[] cells = cellsByVolume.computeIfAbsent(volumeId, any -> new int[length]);
            int end = Math.min(length, nextExtent + ExtentLocator.MAX_EXTENTS_PER_STEP);
            for (int i = nextExtent; i < end; i++) {
                cells[i] = locator.holder(volumeId, i);
            }
            if (end < length) {
                nextExtent = end;
            } else {
                nextExtent = 0;
                remainingVolumes = remainingVolumes.subList(1, remainingVolumes.size());
                remainingExtents -= length;
            }
            loop.execute(this::step);
        }
    }
}
