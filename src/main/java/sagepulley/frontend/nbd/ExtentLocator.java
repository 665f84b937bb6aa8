package sagepulley.frontend.nbd;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sagepulley.codec.nbd.NbdConstants;
import sagepulley.discovery.directory.DirectoryClient;
import sagepulley.engine.Clock;
import sagepulley.model.Attempt;
import sagepulley.placement.ExtentHolders;
import sagepulley.scheduler.Scheduler;
import sagepulley.upstream.frame.StoreMessages;

/**
 * Finds the cell that holds an extent: from the cache, by a lookup at the directory, or for a first
 * write by a claim there (docs/protocols.md). Owns the parts that wait for the directory; confined
 * to the engine's event loop.
 */
final class ExtentLocator {
    /** Maximum number of extents in one lookup, and in one step of a snapshot. */
    static final int MAX_EXTENTS_PER_STEP = 1 << 14;

    /**
     * Shard of an operation whose holder is unknown. No node has this shard, so the scheduler keeps
     * the operation until its holder is known.
     */
    private static final int UNKNOWN_SHARD = Integer.MAX_VALUE;

    /** Shard of a first write, for which the scheduler chooses a node. */
    private static final int ANY_SHARD = -1;

    private static final Logger LOG = LoggerFactory.getLogger(ExtentLocator.class);

    /** Receives the results of locating parts. */
    interface Listener {
        /**
         * Called when the part can go to the scheduler; its shard is set, to a placeholder if the
         * holder is not known.
         */
        void located(RequestPart part);

        /** Called when no cell holds the part's extent: it reads as zeroes and needs no node. */
        void unallocated(RequestPart part);

        /**
         * Called when the part starts to wait for the directory, at {@code now} in engine
         * milliseconds.
         */
        void directoryWaitStarted(RequestPart part, double now);

        /** Called when the scheduler may have work that is due. */
        void schedulerChanged();
    }

    private final DirectoryClient directory;
    private final Scheduler scheduler;
    private final Clock clock;
    private final int extentBytes;
    private final Listener listener;
    private final ExtentHolders<RequestPart> holders = new ExtentHolders<>();

    /** Parts in flight whose holder is unknown, or was read from disk and is not confirmed yet. */
    private final PartsByExtent unlocated = new PartsByExtent();

    /** Extents whose holder was read from disk and is not confirmed by a node yet. */
    private final Set<Long> unverified = new HashSet<>();

    /** Cells that hold or held known extents, by volume id. */
    private final Map<Integer, Set<Integer>> cellsByVolume = new HashMap<>();

    /**
     * Whether the directory is unreachable. Set when a call fails and the connection is closed, and
     * cleared by the next endpoint list. While it is set, no lookups are sent, and new first writes
     * wait at the scheduler.
     */
    private boolean directoryUnreachable;

    private boolean changedSinceSnapshot;

    ExtentLocator(
            DirectoryClient directory,
            Scheduler scheduler,
            Clock clock,
            int extentBytes,
            Listener listener) {
        this.directory = directory;
        this.scheduler = scheduler;
        this.clock = clock;
        this.extentBytes = extentBytes;
        this.listener = listener;
    }

    // ---- cached holders ----

    /**
     * Restores the holders that an earlier incarnation stored, given as the cell of each extent or
     * -1.
     */
    void restore(ExportedVolume volume, int[] cells) {
        int volumeId = volume.settings.id();
        for (int i = 0; i < Math.min(cells.length, extentCount(volume)); i++) {
            if (cells[i] >= 0) {
                long key = ExtentHolders.key(volumeId, i);
                holders.holderLearned(key, cells[i]);
                addCell(volumeId, cells[i]);
                unverified.add(key);
            }
        }
    }

    private void addCell(int volumeId, int cell) {
        cellsByVolume.computeIfAbsent(volumeId, any -> new HashSet<>()).add(cell);
    }

    /** Returns the number of extents of a volume. */
    long extentCount(ExportedVolume volume) {
        return (volume.settings.sizeBytes() - 1) / extentBytes + 1;
    }

    /** Returns the cell that holds an extent, or -1 if it is unknown. */
    int holder(int volumeId, long extent) {
        return holders.cell(ExtentHolders.key(volumeId, extent));
    }

    /** Passes the cells that hold known extents of a volume to the consumer. */
    void forEachHolder(ExportedVolume volume, IntConsumer consumer) {
        cellsByVolume.getOrDefault(volume.settings.id(), Set.of()).forEach(consumer::accept);
    }

    /** Returns whether a holder has changed since the last call. */
    boolean checkAndClearChanged() {
        boolean changed = changedSinceSnapshot;
        changedSinceSnapshot = false;
        return changed;
    }

    /**
     * Returns the number of holders that were read from disk and are not confirmed by a node yet.
     */
    int unverifiedCount() {
        return unverified.size();
    }

    /**
     * Returns whether the holder of the part's extent was read from disk and is not confirmed yet,
     * so that the node must confirm that it has the extent.
     */
    boolean isUnverified(RequestPart part) {
        return unverified.contains(part.operation.extent);
    }

    /** Records that a node served an operation on the part's extent, which confirms the holder. */
    void holderVerified(RequestPart part) {
        if (unverified.remove(part.operation.extent)) {
            unlocated.removeAll(part.operation.extent);
        }
    }

    /** Returns whether the directory is reachable, as far as is known. */
    boolean isDirectoryReachable() {
        return !directoryUnreachable && directory.isOpen();
    }

    // ---- locating parts ----

    /**
     * Finds the holder of a part's extent. The listener is called at once, or later if the part has
     * to wait for the directory.
     *
     * <p>A part that is not the first in the order of its extent waits for its turn at the
     * scheduler: what the directory answers before an earlier operation has ended may be outdated
     * by that operation.
     */
    void locate(RequestPart part) {
        long key = part.operation.extent;
        int cell = holders.cell(key);
        if (cell >= 0) {
            if (unverified.contains(key)) {
                unlocated.add(part);
            }
            part.operation.shard = cell;
            listener.located(part);
            return;
        }
        unlocated.add(part);
        if (!isFirstOfExtent(part)) {
            scheduler.reportOnceFirstOfKey(part.operation);
            part.operation.shard = UNKNOWN_SHARD;
            listener.located(part);
        } else if (holders.hasPendingClaim(key)) {
            awaitDirectory(key, part);
        } else if (allocates(part)) {
            part.operation.shard = shardForFirstWrite();
            listener.located(part);
        } else {
            awaitDirectory(key, part);
            lookup(part);
        }
    }

    /**
     * Finds the holder for a part that waits at the scheduler without one, because it has become
     * the first in the order of its extent, its former holder proved wrong, or the directory is
     * reachable again. Ignores any other part.
     */
    void locateAgain(RequestPart part) {
        long key = part.operation.extent;
        if (part.operation.ended
                || !part.submitted
                || part.attemptId != 0
                || holders.cell(key) >= 0
                || !unlocated.contains(part)) {
            return;
        }
        if (!isFirstOfExtent(part)) {
            scheduler.reportOnceFirstOfKey(part.operation);
        } else if (!allocates(part)) {
            lookup(part);
        } else if (!holders.hasPendingClaim(key) && part.operation.shard != shardForFirstWrite()) {
            scheduler.onExtentLocated(part.operation, shardForFirstWrite());
        }
    }

    /** Returns whether a part that was located still has a holder, or needs none. */
    boolean isLocated(RequestPart part) {
        return !unlocated.contains(part) || holders.cell(part.operation.extent) >= 0;
    }

    private boolean isFirstOfExtent(RequestPart part) {
        return !part.operation.trafficClass.ordered()
                || scheduler.isFirstOfKey(part.operation, clock.now());
    }

    /** Removes a part that has ended from the parts that wait for a holder. */
    void stopLocating(RequestPart part) {
        unlocated.remove(part);
        holders.removeWaiter(part.operation.extent, part);
    }

    /**
     * Passes parts to the listener without a holder once they have waited for the directory for the
     * maximum time.
     */
    void releaseExpired(double now) {
        for (RequestPart part : holders.takeExpired(now)) {
            submitWithoutHolder(part);
        }
    }

    /**
     * Returns the time at which the next part has waited for the maximum time, in engine
     * milliseconds; infinity if none waits.
     */
    double nextExpiry() {
        return holders.nextExpiry();
    }

    private void awaitDirectory(long key, RequestPart part) {
        double now = clock.now();
        holders.addWaiter(key, part, now);
        listener.directoryWaitStarted(part, now);
    }

    private void submitWithoutHolder(RequestPart part) {
        if (part.operation.ended) {
            return;
        }
        part.operation.shard = shardWithoutHolder(part);
        listener.located(part);
    }

    /**
     * Returns whether the operation allocates its extent: a write, or a write of zeroes that must
     * not leave a hole.
     */
    private static boolean allocates(RequestPart part) {
        return part.kind == StoreMessages.Kind.WRITE
                || (part.kind == StoreMessages.Kind.ZERO
                        && (part.request.command.flags() & NbdConstants.CMD_FLAG_NO_HOLE) != 0);
    }

    private int shardWithoutHolder(RequestPart part) {
        return allocates(part) ? shardForFirstWrite() : UNKNOWN_SHARD;
    }

    /**
     * Returns the shard for a first write: any node, or unknown while the directory cannot process
     * claims.
     */
    private int shardForFirstWrite() {
        return directoryUnreachable ? UNKNOWN_SHARD : ANY_SHARD;
    }

    // ---- lookups ----

    /**
     * Looks up the holder of a part's extent. The lookup must start after the part arrived, because
     * an earlier answer may miss a write that was acknowledged since.
     */
    private void lookup(RequestPart part) {
        if (directoryUnreachable) {
            if (holders.removeWaiter(part.operation.extent, part)) {
                submitWithoutHolder(part);
            }
            return;
        }
        directory.lookup(
                part.request.volume.settings.id(),
                part.extent,
                1,
                (cells, failure) -> {
                    if (!part.operation.ended) {
                        lookupCompleted(part, cells);
                        listener.schedulerChanged();
                    }
                });
    }

    private void lookupCompleted(RequestPart part, int[] cells) {
        long key = part.operation.extent;
        if (cells == null) {
            directoryCallFailed();
            if (holders.removeWaiter(key, part)) {
                submitWithoutHolder(part);
            }
        } else if (cells[0] >= 0) {
            holderFound(key, cells[0]);
        } else if (holders.cell(key) < 0) {
            listener.unallocated(part);
        }
    }

    /**
     * Records the holder of an extent, and routes the parts that wait for it here or at the
     * scheduler.
     */
    void holderFound(long key, int cell) {
        Set<RequestPart> parts = unlocated.removeAll(key);
        List<RequestPart> waitingParts = holders.holderLearned(key, cell);
        int holder = holders.cell(key);
        addCell(ExtentHolders.volume(key), cell);
        changedSinceSnapshot = true;
        for (RequestPart part : parts) {
            if (part.submitted) {
                scheduler.onExtentLocated(part.operation, holder);
            }
        }
        for (RequestPart part : waitingParts) {
            if (!part.operation.ended) {
                part.operation.shard = holder;
                listener.located(part);
            }
        }
    }

    /**
     * Handles a node's answer that it did not execute an attempt. If the extent's holder was read
     * from disk and not confirmed since, the holder is wrong and becomes unknown for all parts of
     * the extent. Those that wait are located anew at once, those with an attempt in flight when it
     * has ended.
     */
    void onNotExecuted(RequestPart part) {
        long key = part.operation.extent;
        if (!unverified.remove(key)) {
            return;
        }
        LOG.atInfo()
                .addKeyValue("volume", part.request.volume.settings.name())
                .addKeyValue("extent", part.extent)
                .log("stored extent holder is wrong, node does not have the extent");
        holders.forget(key);
        changedSinceSnapshot = true;
        List<RequestPart> sameExtent = unlocated.of(key);
        for (RequestPart affected : sameExtent) {
            if (!affected.operation.ended) {
                scheduler.onExtentLocated(affected.operation, UNKNOWN_SHARD);
            }
        }
        sameExtent.forEach(this::locateAgain);
    }

    // ---- claims ----

    /**
     * Claims a part's extent for the cell of its attempt's node. The result is the cell that holds
     * the extent, or null if the claim failed.
     */
    void claim(RequestPart part, Attempt attempt, Consumer<Integer> result) {
        long key = part.operation.extent;
        holders.claimStarted(key);
        // Holds back other first writes to the extent until the claim ends, because a claim for
        // another cell would lose against it.
        rerouteFirstWrites(key, UNKNOWN_SHARD);
        directory.claim(
                part.request.volume.settings.id(),
                part.extent,
                attempt.node.cell,
                (cell, failure) -> {
                    if (cell != null) {
                        holderFound(key, cell);
                    } else {
                        claimFailed(key, part);
                    }
                    for (RequestPart waiting : holders.claimEnded(key)) {
                        submitWithoutHolder(waiting);
                    }
                    result.accept(cell);
                });
    }

    private void claimFailed(long key, RequestPart part) {
        directoryCallFailed();
        rerouteFirstWrites(key, shardForFirstWrite());
        if (directoryUnreachable && !part.operation.ended) {
            scheduler.onExtentLocated(part.operation, UNKNOWN_SHARD);
        }
    }

    /** Changes the shard of the first writes to an extent that wait at the scheduler. */
    private void rerouteFirstWrites(long key, int shard) {
        for (RequestPart part : unlocated.of(key)) {
            if (part.submitted
                    && part.attemptId == 0
                    && part.operation.shard != shard
                    && allocates(part)
                    && isFirstOfExtent(part)) {
                scheduler.onExtentLocated(part.operation, shard);
            }
        }
    }

    // ---- directory failures ----

    /**
     * Records that a call to the directory has failed. The directory counts as unreachable if its
     * connection is closed.
     */
    void directoryCallFailed() {
        directoryUnreachable |= !directory.isOpen();
    }

    /**
     * Records that an endpoint list has arrived. If the directory was unreachable, first writes may
     * claim extents again, and the other parts without a holder are looked up again.
     */
    void directoryAnswered() {
        if (!directoryUnreachable) {
            return;
        }
        directoryUnreachable = false;
        List<Long> extents = unlocated.extents();
        LOG.atInfo().addKeyValue("extents", extents.size()).log("directory reachable again");
        for (long key : extents) {
            if (holders.cell(key) < 0) {
                unlocated.of(key).forEach(this::locateAgain);
            }
        }
    }
}
