package sagepulley.membership;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * One view of the nodes, made of what the directory, a list on disk, the site file and the nodes
 * themselves say; and how far each is believed (docs/membership.md). No I/O; times are wall-clock
 * milliseconds that are handed in and only move forward within a life; chance is handed in.
 *
 * <p>What restricts is believed at once, from whomever it comes: draining, gone, another identity.
 * What permits is believed by the trust in its source, or when the node itself proves it.
 */
public class Membership {
    /**
     * The trust's bounds: milliseconds until a list is aged, and old; nodes asked at a time, and
     * the pause between two; how long a proof holds without a connection; how long omissions of a
     * doubtful list wait; the first and the longest hold-down of a node that flaps.
     */
    public record Policy(
            double freshMillis,
            double agedMillis,
            int maxConcurrentProbes,
            double probeIntervalMillis,
            double verificationMillis,
            double omissionGraceMillis,
            double initialHoldDownMillis,
            double maxHoldDownMillis) {
        public static final Policy DEFAULT =
                new Policy(300_000, 86_400_000, 4, 50, 60_000, 30_000, 5_000, 120_000);
    }

    /** What a node's welcome means for what was about to go to it. */
    public enum HandshakeVerdict {
        /** It is who it should be, as it was believed to be. */
        ACCEPTED,
        /**
         * It is, but drains or has just started: what was decided before it was known is to be
         * decided anew.
         */
        REROUTE,
        /** It is another: nothing goes there. */
        WRONG_NODE
    }

    /** What became of a list that was told. */
    public record UpdateResult(boolean accepted, boolean changed, String reason) {}

    /** A node as it is to be used, and why so. */
    public record MemberView(
            @JsonProperty("line") EndpointRecord endpoint,
            @JsonProperty("use") EndpointRecord.Phase phase,
            @JsonProperty("takesNew") boolean acceptsNewObjects,
            @JsonProperty("proven") boolean verified,
            RecordSource source,
            String reason) {}

    private static final int FLIPS_BEFORE_HOLD = 3;
    private static final double FLIPS_WINDOW = 60_000;
    private static final double ASK_LONGEST = 2_000;
    private static final double ASK_AGAIN_FIRST = 500;
    private static final double ASK_AGAIN_LONGEST = 30_000;
    private static final int MOST_NODES = 1 << 14;

    /**
     * A clock that shows the list's confirmation so far ahead was set back: the list's age is not
     * known.
     */
    private static final double CLOCK_SLACK = 1_000;

    private static final class Known {
        EndpointRecord line;
        RecordSource source;

        /** The node said so itself, on the store protocol. */
        boolean selfDraining;

        boolean connected;
        double provenAt = Double.NEGATIVE_INFINITY;

        /** Why it is struck, at this gateway only; null if it is not. */
        String struck;

        /** Asking it: since when, how often in vain, and when again. */
        double askedAt = Double.NEGATIVE_INFINITY;

        int inVain;
        double askAgainAt = Double.NEGATIVE_INFINITY;
        boolean asking;

        /**
         * Of READY after something else: when, lately; and until when READY is not believed again.
         */
        final Deque<Double> flips = new ArrayDeque<>();

        double heldUntil = Double.NEGATIVE_INFINITY;

        /** Missing in a doubtful list since; NaN if it was not. */
        double missingSince = Double.NaN;

        /** Was READY in the latest that the directory said, though it is not believed. */
        boolean permitted;
    }

    private final String site;
    private final Policy bounds;
    private final RandomGenerator random;
    private final Map<Integer, Known> nodes = new TreeMap<>();
    private long history;
    private long version;
    private double confirmedAt = Double.NEGATIVE_INFINITY;
    private ListFreshness trustBefore = ListFreshness.OLD;
    private double lastAskedAt = Double.NEGATIVE_INFINITY;

    public Membership(String site, Policy bounds, RandomGenerator random) {
        this.site = site;
        this.bounds = bounds;
        this.random = random;
    }

    // ---- sources ----

    /** Starts with what an earlier life kept, or an operator brought. */
    public void restore(StoredEndpointList list, double now) {
        history = list.history();
        version = list.version();
        boolean clockSetBack = list.confirmedAt() > now + CLOCK_SLACK;
        confirmedAt =
                list.confirmedAt() == 0 || clockSetBack
                        ? Double.NEGATIVE_INFINITY
                        : list.confirmedAt();
        for (StoredEndpointList.StoredEndpoint kept : list.endpoints()) {
            Known known = new Known();
            known.line = kept.endpoint();
            known.source =
                    kept.source() == RecordSource.DIRECTORY ? RecordSource.DISK : kept.source();
            known.selfDraining = kept.selfDraining();
            nodes.put(known.line.node(), known);
        }
        trustBefore = freshness(now);
    }

    /**
     * Nodes of the site file: each proves itself before it is used, and any other source knows
     * better.
     */
    public void addConfigured(List<EndpointRecord> lines) {
        for (EndpointRecord line : lines) {
            nodes.computeIfAbsent(
                    line.node(),
                    any -> {
                        Known known = new Known();
                        known.line = line;
                        known.source = RecordSource.SITE;
                        return known;
                    });
        }
    }

    /** A directory told a list, or what changed in it. */
    public UpdateResult applyUpdate(EndpointListUpdate list, double now) {
        if (!list.site().isEmpty() && !list.site().equals(site)) {
            return new UpdateResult(false, false, "it is of site '" + list.site() + "'");
        }
        if (list.complete() && list.endpoints().isEmpty() && !nodes.isEmpty()) {
            return new UpdateResult(false, false, "it is empty, and nodes are known");
        }
        boolean older = list.history() == history && list.version() < version;
        boolean other = history != 0 && list.history() != history;
        boolean changed = false;
        for (EndpointRecord line : list.endpoints()) {
            changed |= line(line, older, now);
        }
        if (older) {
            // Only what restricts was taken; what it permits, the nodes themselves must prove.
            return new UpdateResult(
                    false, changed, "its version " + list.version() + " is older than " + version);
        }
        if (list.complete()) {
            changed |= omissions(list, other, now);
        }
        if (list.complete() || !other) {
            history = list.history();
            version = list.version();
            confirmedAt = now;
        }
        changed |= freshness(now) != trustBefore;
        trustBefore = freshness(now);
        return new UpdateResult(
                true,
                changed,
                other ? "of another history: what it leaves out is doubted for a while" : "");
    }

    private boolean line(EndpointRecord line, boolean older, double now) {
        Known known = nodes.get(line.node());
        if (known == null) {
            if (older || nodes.size() >= MOST_NODES) {
                return false;
            }
            known = new Known();
            known.line = line;
            known.source = RecordSource.DIRECTORY;
            nodes.put(line.node(), known);
            known.permitted = line.phase() == EndpointRecord.Phase.READY;
            return true;
        }
        known.missingSince = Double.NaN;
        EndpointRecord before = known.line;
        boolean permits = line.phase() == EndpointRecord.Phase.READY;
        if (older) {
            if (!permits && before.phase() == EndpointRecord.Phase.READY) {
                known.line = before.phase(line.phase());
                known.permitted = false;
                return true;
            }
            return false;
        }
        if (permits && before.phase() != EndpointRecord.Phase.READY) {
            flip(known, now);
        }
        // A node that told of a later start itself knows better than a directory that lags.
        long startedAt =
                Math.max(line.startedAt(), before.sameAddress(line) ? before.startedAt() : 0);
        known.line = line.startedAt(startedAt);
        known.source = RecordSource.DIRECTORY;
        known.permitted = permits;
        if (!before.sameAddress(line) || before.cell() != line.cell()) {
            known.struck = null;
            known.provenAt = Double.NEGATIVE_INFINITY;
            known.connected = false;
            known.inVain = 0;
            known.askAgainAt = Double.NEGATIVE_INFINITY;
        } else if (known.struck != null && permits) {
            known.askAgainAt = Math.min(known.askAgainAt, now);
        }
        if (permits && line.startedAt() > before.startedAt()) {
            known.selfDraining = false; // it started anew since it said so
        }
        return !known.line.equals(before) || known.struck == null;
    }

    private void flip(Known known, double now) {
        known.flips.add(now);
        while (known.flips.peek() < now - FLIPS_WINDOW) {
            known.flips.poll();
        }
        int over = known.flips.size() - FLIPS_BEFORE_HOLD;
        if (over >= 0) {
            known.heldUntil =
                    now
                            + Math.min(
                                    bounds.maxHoldDownMillis(),
                                    bounds.initialHoldDownMillis()
                                            * Math.pow(2, Math.min(over, 20)));
        }
    }

    /**
     * Who is missing in a whole list is gone; in one of another history, only if it is missing for
     * a while.
     */
    private boolean omissions(EndpointListUpdate list, boolean other, double now) {
        boolean changed = false;
        Set<Integer> listed =
                list.endpoints().stream().map(EndpointRecord::node).collect(Collectors.toSet());
        for (Known known : nodes.values()) {
            if (listed.contains(known.line.node())
                    || known.line.phase() == EndpointRecord.Phase.REMOVED) {
                continue;
            }
            if (known.source == RecordSource.SITE) {
                continue; // the site file speaks for itself; the node proves it, or not
            }
            if (other && Double.isNaN(known.missingSince)) {
                known.missingSince = now;
            } else if (!other && Double.isNaN(known.missingSince)) {
                known.line = known.line.phase(EndpointRecord.Phase.REMOVED);
                changed = true;
            }
        }
        return changed;
    }

    // ---- what nodes say ----

    /**
     * A node answered on connecting: who it is, its cell, whether it drains, when it started (0:
     * long ago).
     */
    public HandshakeVerdict handshakeCompleted(
            int node, int who, int cell, boolean draining, long startedAt, double now) {
        Known known = nodes.get(node);
        if (known == null) {
            return HandshakeVerdict.WRONG_NODE;
        }
        known.asking = false;
        if (who != node || cell != known.line.cell()) {
            known.struck =
                    who != node
                            ? "at its address node " + who + " answers"
                            : "it holds cell " + cell + ", not " + known.line.cell();
            known.connected = false;
            again(known, now);
            return HandshakeVerdict.WRONG_NODE;
        }
        boolean restarted = startedAt > known.line.startedAt();
        boolean drainedBefore = known.selfDraining;
        known.struck = null;
        known.inVain = 0;
        known.connected = true;
        known.provenAt = now;
        known.selfDraining = draining;
        if (restarted) {
            known.line = known.line.startedAt(startedAt);
        }
        return (draining && !drainedBefore) || restarted
                ? HandshakeVerdict.REROUTE
                : HandshakeVerdict.ACCEPTED;
    }

    /** A connected node says that it drains. */
    public void drainAnnounced(int node) {
        Known known = nodes.get(node);
        if (known != null) {
            known.selfDraining = true;
        }
    }

    /** The connection to a node ended, or did not come about. */
    public void disconnected(int node, double now) {
        Known known = nodes.get(node);
        if (known != null) {
            boolean asked = known.asking;
            known.asking = false;
            if (known.connected) {
                known.provenAt = now;
            }
            known.connected = false;
            if (asked) {
                again(known, now);
            }
        }
    }

    private void again(Known known, double now) {
        double pause =
                Math.min(
                        ASK_AGAIN_LONGEST,
                        ASK_AGAIN_FIRST * Math.pow(2, Math.min(known.inVain++, 10)));
        known.askAgainAt = now + pause * (0.5 + random.nextDouble());
    }

    // ---- what is to be done ----

    /** How far the list is believed now. */
    public ListFreshness freshness(double now) {
        double age = now - confirmedAt;
        return age <= bounds.freshMillis()
                ? ListFreshness.FRESH
                : age <= bounds.agedMillis() ? ListFreshness.AGED : ListFreshness.OLD;
    }

    /**
     * Milliseconds since a directory confirmed the list; infinity if none did, or the clock was set
     * back.
     */
    public double age(double now) {
        return now - confirmedAt;
    }

    /** A subscription stands and nothing changed: the list is confirmed as it is. */
    public boolean confirmed(double now) {
        confirmedAt = now;
        boolean changed = trustBefore != freshness(now);
        trustBefore = freshness(now);
        return changed;
    }

    /** Which nodes are to be asked who they are, now: few at a time, the longest waiting first. */
    public List<Integer> takeProbes(double now) {
        List<Integer> ask = new ArrayList<>(0);
        int asking = 0;
        Known next = null;
        for (Known known : nodes.values()) {
            if (known.asking && now - known.askedAt > ASK_LONGEST) {
                known.asking = false;
                again(known, now);
            }
            asking += known.asking ? 1 : 0;
            if (wantsAsking(known, now) && (next == null || known.askedAt < next.askedAt)) {
                next = known;
            }
        }
        if (next != null
                && asking < bounds.maxConcurrentProbes()
                && now >= lastAskedAt + bounds.probeIntervalMillis()) {
            next.asking = true;
            next.askedAt = now;
            lastAskedAt = now;
            ask.add(next.line.node());
        }
        return ask;
    }

    private boolean wantsAsking(Known known, double now) {
        if (known.asking || known.connected || now < known.askAgainAt) {
            return false;
        }
        if (known.line.phase() == EndpointRecord.Phase.REMOVED) {
            return false;
        }
        return known.struck != null
                || (!proven(known, now)
                        && (freshness(now) != ListFreshness.FRESH
                                || known.source == RecordSource.SITE
                                || (known.line.phase() != EndpointRecord.Phase.READY
                                        && known.permitted)));
    }

    private boolean proven(Known known, double now) {
        return known.connected || now - known.provenAt <= bounds.verificationMillis();
    }

    /**
     * Lets time do its work: omissions that were doubted long enough, trust that fades. Tells
     * whether that changed.
     */
    public boolean advanceTo(double now) {
        boolean changed = freshness(now) != trustBefore;
        trustBefore = freshness(now);
        for (Known known : nodes.values()) {
            if (now - known.missingSince > bounds.omissionGraceMillis()) {
                known.missingSince = Double.NaN;
                known.line = known.line.phase(EndpointRecord.Phase.REMOVED);
                changed = true;
            }
            if (known.heldUntil != Double.NEGATIVE_INFINITY && now >= known.heldUntil) {
                known.heldUntil = Double.NEGATIVE_INFINITY;
                changed = true;
            }
        }
        return changed;
    }

    /** Every node that is known, and how it is to be used now. */
    public List<MemberView> members(double now) {
        ListFreshness trust = freshness(now);
        List<MemberView> all = new ArrayList<>(nodes.size());
        for (Known known : nodes.values()) {
            boolean proven = proven(known, now);
            EndpointRecord.Phase use = known.line.phase();
            String reason = "listed as it is";
            if (known.struck != null) {
                use = EndpointRecord.Phase.REMOVED;
                reason = known.struck;
            } else if (use == EndpointRecord.Phase.REMOVED) {
                reason = "listed as gone, or no longer listed";
            } else if (use == EndpointRecord.Phase.DRAINING || known.selfDraining) {
                use = EndpointRecord.Phase.DRAINING;
                reason = known.selfDraining ? "it says that it drains" : "listed as draining";
            } else if (now < known.heldUntil) {
                use = EndpointRecord.Phase.DRAINING;
                reason = "it flaps: held down until it stays";
            } else if (!proven
                    && (trust == ListFreshness.OLD || known.source == RecordSource.SITE)) {
                use = EndpointRecord.Phase.REMOVED;
                reason = "not believed before it has proven itself";
            } else if (!proven && trust == ListFreshness.AGED) {
                reason = "aged list: no new objects before it has proven itself";
            } else if (proven) {
                reason = "proved itself";
            }
            boolean takesNew =
                    use == EndpointRecord.Phase.READY && (trust == ListFreshness.FRESH || proven);
            all.add(new MemberView(known.line, use, takesNew, proven, known.source, reason));
        }
        return all;
    }

    /** Whether any node is known. */
    public boolean isEmpty() {
        return nodes.isEmpty();
    }

    /** What is to go to disk. */
    public StoredEndpointList snapshot() {
        List<StoredEndpointList.StoredEndpoint> lines = new ArrayList<>(nodes.size());
        for (Known known : nodes.values()) {
            if (known.source != RecordSource.SITE) {
                lines.add(
                        new StoredEndpointList.StoredEndpoint(
                                known.line, known.source, known.selfDraining));
            }
        }
        return new StoredEndpointList(
                site,
                history,
                version,
                confirmedAt == Double.NEGATIVE_INFINITY ? 0 : (long) confirmedAt,
                lines);
    }
}
