package sagepulley.frontend.nbd;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
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
 * Finds the cell that holds an extent: by what is cached, by a lookup, or by a claim at the
 * directory for a first write (docs/protocols.md). Owns the parts that wait for an answer; confined
 * to the engine's event loop.
 */
final class ExtentLocator {
    /** Extents that one lookup asks for, and one step of a snapshot copies. */
    static final int MAX_EXTENTS_PER_STEP = 1 << 14;

    /**
     * A shard that no node has: the scheduler keeps such an operation until its holder is known.
     */
    private static final int UNKNOWN_SHARD = Integer.MAX_VALUE;

    /** The scheduler chooses a node for an operation with this shard. */
    private static final int ANY_SHARD = -1;

    private static final Logger LOG = LoggerFactory.getLogger(ExtentLocator.class);

    /** Receives what became of the parts whose extent was sought. */
    interface Listener {
        /** The part's shard is set as far as it is known: it goes to the scheduler. */
        void located(RequestPart part);

        /** No cell holds the part's extent: it reads as zeroes, and needs no node. */
        void unallocated(RequestPart part);

        /** The part waits for the directory from this time of the engine's clock on. */
        void directoryWaitStarted(RequestPart part, double now);

        /** The scheduler may have work that became due. */
        void schedulerChanged();
    }

    private final DirectoryClient directory;
    private final Scheduler scheduler;
    private final Clock clock;
    private final int extentBytes;
    private final Listener listener;
    private final ExtentHolders<RequestPart> holders = new ExtentHolders<>();

    /** Parts in flight whose holder is not known, by extent. */
    private final Map<Long, Set<RequestPart>> unlocated = new HashMap<>();

    /** Extents whose holder is known from disk only: the first node that is asked confirms it. */
    private final Set<Long> unverified = new HashSet<>();

    /** The directory cannot be reached: only the scheduler's polls try it. */
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

    // ---- what is cached ----

    /**
     * Takes over the holders that an earlier incarnation stored: the cell of each extent, or -1.
     */
    void restore(ExportedVolume volume, int[] cells) {
        int volumeId = volume.settings.id();
        for (int i = 0; i < Math.min(cells.length, extentCount(volume)); i++) {
            if (cells[i] >= 0) {
                long key = ExtentHolders.key(volumeId, i);
                holders.holderLearned(key, cells[i]);
                unverified.add(key);
            }
        }
    }

    /** How many extents a volume has. */
    long extentCount(ExportedVolume volume) {
        return (volume.settings.sizeBytes() - 1) / extentBytes + 1;
    }

    /** The cell that holds an extent, or -1 where none is known. */
    int holder(int volumeId, long extent) {
        return holders.cell(ExtentHolders.key(volumeId, extent));
    }

    /** Whether a holder has changed since the last call. */
    boolean checkAndClearChanged() {
        boolean changed = changedSinceSnapshot;
        changedSinceSnapshot = false;
        return changed;
    }

    /** How many holders are known from disk only. */
    int unverifiedCount() {
        return unverified.size();
    }

    /** Whether the node must confirm that it has the part's extent, which is known from disk. */
    boolean isUnverified(RequestPart part) {
        return unverified.contains(part.operation.extent);
    }

    /** A node served an operation at the part's extent. */
    void holderVerified(RequestPart part) {
        unverified.remove(part.operation.extent);
    }

    /** Whether the directory answers, as far as is known. */
    boolean isDirectoryReachable() {
        return !directoryUnreachable && directory.isOpen();
    }

    // ---- parts that look for their holder ----

    /** Finds the holder of a part's extent; the listener receives it, at once or later. */
    void locate(RequestPart part) {
        long key = part.operation.extent;
        int cell = holders.cell(key);
        if (cell >= 0) {
            part.operation.shard = cell;
            listener.located(part);
            return;
        }
        addUnlocated(key, part);
        if (holders.hasPendingClaim(key)) {
            awaitDirectory(key, part);
        } else if (allocates(part)) {
            part.operation.shard = shardForFirstWrite();
            listener.located(part);
        } else {
            awaitDirectory(key, part);
            lookup(part);
        }
    }

    /** A part has ended: it needs no holder any more. */
    void stopLocating(RequestPart part) {
        long key = part.operation.extent;
        Set<RequestPart> parts = unlocated.get(key);
        if (parts != null && parts.remove(part) && parts.isEmpty()) {
            unlocated.remove(key);
        }
        holders.removeWaiter(key, part);
    }

    /** Hands parts on that have waited long enough for the directory: the scheduler decides. */
    void releaseExpired(double now) {
        for (RequestPart part : holders.takeExpired(now)) {
            submitWithoutHolder(part);
        }
    }

    /** When a part will have waited long enough, in engine milliseconds; infinite if none waits. */
    double nextExpiry() {
        return holders.nextExpiry();
    }

    private void addUnlocated(long key, RequestPart part) {
        unlocated.computeIfAbsent(key, any -> new HashSet<>()).add(part);
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

    /** Whether the extent must have a holder afterwards. */
    private static boolean allocates(RequestPart part) {
        return part.kind == StoreMessages.Kind.WRITE
                || (part.kind == StoreMessages.Kind.ZERO
                        && (part.request.command.flags() & NbdConstants.CMD_FLAG_NO_HOLE) != 0);
    }

    private int shardWithoutHolder(RequestPart part) {
        return allocates(part) ? shardForFirstWrite() : UNKNOWN_SHARD;
    }

    /** Where a first write goes: to any node, or, while no claim can be made, to none yet. */
    private int shardForFirstWrite() {
        return directoryUnreachable ? UNKNOWN_SHARD : ANY_SHARD;
    }

    // ---- lookups ----

    /**
     * Looked up after the operation came: an older answer could not know of a write acknowledged
     * since.
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
        } else {
            listener.unallocated(part);
        }
    }

    /** A holder became known: parts that wait for it, here or at the scheduler, go there. */
    void holderFound(long key, int cell) {
        Set<RequestPart> parts = unlocated.remove(key);
        List<RequestPart> waitingParts = holders.holderLearned(key, cell);
        int holder = holders.cell(key);
        changedSinceSnapshot = true;
        if (parts != null) {
            for (RequestPart part : parts) {
                if (part.submitted) {
                    scheduler.onExtentLocated(part.operation, holder);
                }
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
     * The node that the disk names as the holder denied it: the holder is unknown until it is found
     * again. True if the holder was known from disk only.
     */
    boolean holderDenied(RequestPart part) {
        long key = part.operation.extent;
        if (!unverified.remove(key)) {
            return false;
        }
        LOG.atInfo()
                .addKeyValue("volume", part.request.volume.settings.name())
                .addKeyValue("extent", part.extent)
                .log("node denies that it holds the extent, as read from disk");
        holders.forget(key);
        changedSinceSnapshot = true;
        addUnlocated(key, part);
        if (!part.operation.ended) {
            scheduler.onExtentLocated(part.operation, shardWithoutHolder(part));
        }
        return true;
    }

    /** Looks up the extent of a part whose attempt was denied, unless a claim will find it. */
    void locateAfterDenial(RequestPart part) {
        if (!part.operation.ended && !allocates(part)) {
            lookup(part);
        }
    }

    // ---- claims ----

    /**
     * Claims a part's extent for the cell of its attempt's node. The result is the cell that holds
     * it, or null if the directory did not answer.
     */
    void claim(RequestPart part, Attempt attempt, Consumer<Integer> result) {
        long key = part.operation.extent;
        holders.claimStarted(key);
        // Other first writes to the extent wait for this claim, or they would lose theirs against
        // it.
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

    /** Tells the scheduler anew where the first writes to an extent go that wait with it. */
    private void rerouteFirstWrites(long key, int shard) {
        for (RequestPart part : unlocated.getOrDefault(key, Set.of())) {
            if (part.submitted
                    && part.attemptId == 0
                    && part.operation.shard != shard
                    && allocates(part)) {
                scheduler.onExtentLocated(part.operation, shard);
            }
        }
    }

    // ---- the directory's failures ----

    /** A call of the directory failed; without a connection it counts as unreachable. */
    void directoryCallFailed() {
        directoryUnreachable |= !directory.isOpen();
    }

    /** The directory answers: claims can be made, and unknown holders looked up. */
    void directoryAnswered() {
        if (!directoryUnreachable) {
            return;
        }
        directoryUnreachable = false;
        LOG.atInfo().addKeyValue("extents", unlocated.size()).log("directory reachable again");
        for (Map.Entry<Long, Set<RequestPart>> entry : List.copyOf(unlocated.entrySet())) {
            rerouteFirstWrites(entry.getKey(), ANY_SHARD);
            for (RequestPart part : List.copyOf(entry.getValue())) {
                if (!allocates(part) && part.attemptId == 0 && !part.operation.ended) {
                    lookup(part);
                }
            }
        }
    }
}
