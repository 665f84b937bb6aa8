package sagepulley.accounts;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * The windows of all volumes, bounded in the number of volumes and of windows. Volumes beyond the
 * first bound share number 0. Beyond the second bound, windows of the least recently used volume
 * are coarsened or merged into number 0.
 */
final class VolumeWindows {
    private static final long SHARED_VOLUME = 0;

    private final int maxVolumes;
    private final int maxWindows;

    /** In order of access, least recently used first. */
    private final LinkedHashMap<Long, Timeline<AccountWindow>> volumes =
            new LinkedHashMap<>(16, 0.75f, true);

    /** The number of windows of all volumes. */
    private int size;

    VolumeWindows(int maxVolumes, int maxWindows) {
        this.maxVolumes = maxVolumes;
        this.maxWindows = maxWindows;
    }

    /** Returns the window of a volume at a wall-clock time and creates it if it is absent. */
    AccountWindow windowAt(long volume, double wallMillis) {
        Timeline<AccountWindow> timeline = timeline(volume);
        int before = timeline.size();
        AccountWindow window = timeline.windowAt(wallMillis);
        size += timeline.size() - before;
        enforceBound(timeline);
        return window;
    }

    /** Adds stored windows. */
    void merge(Map<Long, Timeline<AccountWindow>> stored) {
        stored.forEach(
                (volume, timeline) -> {
                    Timeline<AccountWindow> target = timeline(volume);
                    int before = target.size();
                    target.merge(timeline, 0);
                    size += target.size() - before;
                });
        enforceBound(null);
    }

    void forEach(BiConsumer<Long, Timeline<AccountWindow>> consumer) {
        volumes.forEach(consumer);
    }

    List<Long> volumes() {
        return volumes.keySet().stream().sorted().toList();
    }

    int size() {
        return size;
    }

    private Timeline<AccountWindow> timeline(long volume) {
        Timeline<AccountWindow> timeline = volumes.get(volume);
        if (timeline == null) {
            long key = volumes.size() < maxVolumes ? volume : SHARED_VOLUME;
            timeline = volumes.computeIfAbsent(key, newKey -> new Timeline<>(AccountWindow::new));
        }
        return timeline;
    }

    private void enforceBound(Timeline<AccountWindow> exempt) {
        while (size > maxWindows
                && (coarsenLeastRecentlyUsed(exempt) || mergeLeastRecentlyUsed(exempt))) {
            // each pass coarsens or merges one volume
        }
    }

    /**
     * Coarsens the windows of the least recently used volume that can be coarsened. Returns whether
     * there was one.
     */
    private boolean coarsenLeastRecentlyUsed(Timeline<AccountWindow> exempt) {
        for (Timeline<AccountWindow> timeline : volumes.values()) {
            int before = timeline.size();
            if (timeline != exempt && timeline.coarsen()) {
                size += timeline.size() - before;
                return true;
            }
        }
        return false;
    }

    /**
     * Merges the least recently used volume into the shared account. Returns whether there was one.
     */
    private boolean mergeLeastRecentlyUsed(Timeline<AccountWindow> exempt) {
        for (Map.Entry<Long, Timeline<AccountWindow>> entry : volumes.entrySet()) {
            if (entry.getKey() != SHARED_VOLUME && entry.getValue() != exempt) {
                Timeline<AccountWindow> removed = volumes.remove(entry.getKey());
                Timeline<AccountWindow> shared = timeline(SHARED_VOLUME);
                int before = shared.size();
                shared.merge(removed, 0);
                size += shared.size() - before - removed.size();
                return true;
            }
        }
        return false;
    }
}
