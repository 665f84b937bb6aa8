package sagepulley.frontend.nbd;

import sagepulley.discovery.directory.DirectoryClient;

/**
 * Looks up the holders of all extents of a volume at the directory, in batches. Confined to the
 * engine's event loop.
 */
final class HolderLookup {
    /** Receives the result of one lookup. */
    interface Listener {
        /** Called with the cells of consecutive extents, -1 for an extent without a holder. */
        void found(long firstExtent, int[] cells);

        /** Called once, after the last batch or a failure; the failure is null after success. */
        void ended(String failure);
    }

    private final DirectoryClient directory;
    private final int volumeId;
    private final long extentCount;
    private final Listener listener;
    private long nextExtent;

    HolderLookup(DirectoryClient directory, int volumeId, long extentCount, Listener listener) {
        this.directory = directory;
        this.volumeId = volumeId;
        this.extentCount = extentCount;
        this.listener = listener;
    }

    /** Looks up the next batch. */
    void run() {
        long first = nextExtent;
        int count = (int) Math.min(ExtentLocator.MAX_EXTENTS_PER_STEP, extentCount - first);
        if (count <= 0) {
            listener.ended(null);
            return;
        }
        nextExtent = first + count;
        directory.lookup(
                volumeId,
                first,
                count,
                (cells, failure) -> {
                    if (cells == null) {
                        listener.ended(failure);
                        return;
                    }
                    listener.found(first, cells);
                    run();
                });
    }
}
