package sagepulley.membership;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * One view of the nodes, made of what the directory, a list on disk, the site file and the nodes
 * themselves say, each trusted as far as docs/membership.md has it. No I/O; times are wall-clock
 * milliseconds that are handed in and only move forward within a life; randomness is handed in.
 * Owned by the engine's thread.
 *
 * <p>What restricts is accepted at once, from whomever it comes: draining, removed, another
 * identity. What permits is accepted by the trust in its source, or when the node itself proves it.
 */
public class Membership {
    /**
     * How far sources are trusted.
     *
     * @param freshMillis age up to which a list is fresh
     * @param agedMillis age up to which a list is aged and not yet old
     * @param maxConcurrentProbes nodes probed at the same time
     * @param probeIntervalMillis between the starts of two probes
     * @param verificationMillis how long a handshake's proof holds after the connection ended
     * @param omissionGraceMillis how long a node stays that a list of another history omits
     * @param initialHoldDownMillis hold-down of a node that begins to flap; doubles with each flap
     * @param maxHoldDownMillis the longest hold-down
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
        /** The policy of a gateway whose site file says nothing about it. */
        public static final Policy DEFAULT =
                new Policy(300_000, 86_400_000, 4, 50, 60_000, 30_000, 5_000, 120_000);
    }

    /** What a node's handshake means for what was about to go to it. */
    public enum HandshakeVerdict {
        /** It is the expected node, in the expected state. */
        ACCEPTED,
        /** It is the expected node, but drains or has just started: route anew. */
        REROUTE,
        /** It is another node: nothing goes there. */
        WRONG_NODE
    }

    /**
     * What became of an update.
     *
     * @param accepted whether all of it was taken; of a stale list only what restricts is
     * @param changed whether a member's use may have changed
     * @param reason why it was not accepted, or what is special about it; empty if nothing
     */
    public record UpdateResult(boolean accepted, boolean changed, String reason) {
        private static UpdateResult rejected(String reason) {
            return new UpdateResult(false, false, reason);
        }
    }

    /**
     * A node as it is to be used; the property names are those of /nodes.
     *
     * @param verified whether the node proved lately who it is
     * @param reason why it is to be used so
     */
    public record MemberView(
            @JsonProperty("line") EndpointRecord endpoint,
            @JsonProperty("use") EndpointRecord.Phase phase,
            @JsonProperty("takesNew") boolean acceptsNewObjects,
            @JsonProperty("proven") boolean verified,
            RecordSource source,
            String reason) {}

    private static final int MAX_NODES = 1 << 14;

    /**
     * A stored confirmation that lies further ahead of the clock shows that the clock was set back:
     * the list's age is not known.
     */
    private static final double CLOCK_TOLERANCE_MILLIS = 1_000;

    private final String site;
    private final Policy policy;
    private final RandomGenerator random;

    /** By node id, which is the order of views and probes. */
    private final Map<Integer, Member> members = new TreeMap<>();

    private long history;
    private long version;
    private double confirmedAt = Double.NEGATIVE_INFINITY;
    private ListFreshness lastFreshness = ListFreshness.OLD;
    private double lastProbeAt = Double.NEGATIVE_INFINITY;

    /** Without any member; updates that name another site are rejected. */
    public Membership(String site, Policy policy, RandomGenerator random) {
        this.site = site;
        this.policy = policy;
        this.random = random;
    }

    // ---- sources ----

    /** Starts with the list that an earlier life stored, or an operator imported. */
    public void restore(StoredEndpointList list, double now) {
        history = list.history();
        version = list.version();
        boolean clockSetBack = list.confirmedAt() > now + CLOCK_TOLERANCE_MILLIS;
        confirmedAt =
                list.confirmedAt() == 0 || clockSetBack
                        ? Double.NEGATIVE_INFINITY
                        : list.confirmedAt();
        for (StoredEndpointList.StoredEndpoint stored : list.endpoints()) {
            members.put(stored.endpoint().node(), Member.restored(stored));
        }
        lastFreshness = freshness(now);
    }

    /** Nodes of the site file: each is verified before it is used; any other source overrides. */
    public void addConfigured(List<EndpointRecord> endpoints) {
        for (EndpointRecord endpoint : endpoints) {
            members.computeIfAbsent(endpoint.node(), id -> new Member(endpoint, RecordSource.SITE));
        }
    }

    /** A directory sent a list, or what changed in it. */
    public UpdateResult applyUpdate(EndpointListUpdate update, double now) {
        if (!update.site().isEmpty() && !update.site().equals(site)) {
            return UpdateResult.rejected("it is of site '" + update.site() + "'");
        }
        if (update.complete() && update.endpoints().isEmpty() && !members.isEmpty()) {
            return UpdateResult.rejected("it is empty, and nodes are known");
        }
        boolean isStale = update.history() == history && update.version() < version;
        boolean isOtherHistory = history != 0 && update.history() != history;
        boolean changed = false;
        for (EndpointRecord endpoint : update.endpoints()) {
            changed |= applyRecord(endpoint, isStale, now);
        }
        if (isStale) {
            // Only what restricts was taken; what it permits, the nodes themselves must prove.
            return new UpdateResult(
                    false,
                    changed,
                    "its version " + update.version() + " is older than " + version);
        }
        if (update.complete()) {
            changed |= applyOmissions(update, isOtherHistory, now);
        }
        if (update.complete() || !isOtherHistory) {
            history = update.history();
            version = update.version();
            confirmedAt = now;
        }
        changed |= updateFreshness(now);
        return new UpdateResult(
                true,
                changed,
                isOtherHistory
                        ? "of another history: what it leaves out is doubted for a while"
                        : "");
    }

    private boolean applyRecord(EndpointRecord endpoint, boolean isStale, double now) {
        Member member = members.get(endpoint.node());
        if (member != null) {
            return isStale
                    ? member.applyStaleRecord(endpoint)
                    : member.applyRecord(endpoint, policy, now);
        }
        if (isStale || members.size() >= MAX_NODES) {
            return false;
        }
        members.put(endpoint.node(), Member.listed(endpoint));
        return true;
    }

    /** Members that a complete list does not have; those of the site file stay. */
    private boolean applyOmissions(EndpointListUpdate update, boolean isOtherHistory, double now) {
        boolean changed = false;
        Set<Integer> listed =
                update.endpoints().stream().map(EndpointRecord::node).collect(Collectors.toSet());
        for (Member member : members.values()) {
            if (!listed.contains(member.id())
                    && !member.endpoint().isRemoved()
                    && !member.isConfigured()) {
                changed |= member.markOmitted(isOtherHistory, now);
            }
        }
        return changed;
    }

    // ---- contact with nodes ----

    /**
     * A node answered the handshake.
     *
     * @param node which was connected to
     * @param answeringNode which answered
     * @param cell which the answering node holds
     * @param draining whether it says that it drains
     * @param startedAt when it started, wall-clock milliseconds; 0 for long ago
     */
    public HandshakeVerdict handshakeCompleted(
            int node, int answeringNode, int cell, boolean draining, long startedAt, double now) {
        Member member = members.get(node);
        if (member == null) {
            return HandshakeVerdict.WRONG_NODE;
        }
        if (answeringNode != node) {
            member.exclude("at its address node " + answeringNode + " answers", now, random);
            return HandshakeVerdict.WRONG_NODE;
        }
        int expectedCell = member.endpoint().cell();
        if (cell != expectedCell) {
            member.exclude("it holds cell " + cell + ", not " + expectedCell, now, random);
            return HandshakeVerdict.WRONG_NODE;
        }
        return member.markVerified(draining, startedAt, now)
                ? HandshakeVerdict.ACCEPTED
                : HandshakeVerdict.REROUTE;
    }

    /** A connected node announced that it is draining. */
    public void drainAnnounced(int node) {
        Member member = members.get(node);
        if (member != null) {
            member.drainAnnounced();
        }
    }

    /** The connection to a node ended, or did not come about. */
    public void disconnected(int node, double now) {
        Member member = members.get(node);
        if (member != null) {
            member.disconnected(now, random);
        }
    }

    /**
     * Which node is to be probed now, at most one: the one whose last probe is longest ago. It
     * counts as probed.
     */
    public List<Integer> takeProbes(double now) {
        ListFreshness freshness = freshness(now);
        int probesInFlight = 0;
        Member candidate = null;
        for (Member member : members.values()) {
            member.expireProbe(now, random);
            probesInFlight += member.isProbing() ? 1 : 0;
            if (member.needsProbe(now, freshness, policy)
                    && (candidate == null || member.probedAt() < candidate.probedAt())) {
                candidate = member;
            }
        }
        if (candidate == null
                || probesInFlight >= policy.maxConcurrentProbes()
                || now < lastProbeAt + policy.probeIntervalMillis()) {
            return List.of();
        }
        candidate.startProbe(now);
        lastProbeAt = now;
        return List.of(candidate.id());
    }

    // ---- time ----

    /** How far the list is trusted now. */
    public ListFreshness freshness(double now) {
        double age = age(now);
        if (age <= policy.freshMillis()) {
            return ListFreshness.FRESH;
        }
        return age <= policy.agedMillis() ? ListFreshness.AGED : ListFreshness.OLD;
    }

    /**
     * Milliseconds since a directory confirmed the list; infinity if none did, or the clock was set
     * back.
     */
    public double age(double now) {
        return now - confirmedAt;
    }

    /**
     * A subscription stands and nothing changed: the list is confirmed as it is. Returns whether
     * that changed its freshness.
     */
    public boolean confirmed(double now) {
        confirmedAt = now;
        return updateFreshness(now);
    }

    /**
     * Ends grace times and hold-downs that are over and lets freshness fade. Returns whether a
     * member's use may have changed.
     */
    public boolean advanceTo(double now) {
        boolean changed = updateFreshness(now);
        for (Member member : members.values()) {
            changed |= member.advanceTo(now, policy);
        }
        return changed;
    }

    private boolean updateFreshness(double now) {
        ListFreshness freshness = freshness(now);
        boolean changed = freshness != lastFreshness;
        lastFreshness = freshness;
        return changed;
    }

    // ---- the result ----

    /** Every node that is known, by id, and how it is to be used now. */
    public List<MemberView> members(double now) {
        ListFreshness freshness = freshness(now);
        return members.values().stream()
                .map(member -> member.view(now, freshness, policy))
                .toList();
    }

    /** Whether no node is known. */
    public boolean isEmpty() {
        return members.isEmpty();
    }

    /** What is to be stored on disk; the site file's nodes are not. */
    public StoredEndpointList snapshot() {
        return new StoredEndpointList(
                site,
                history,
                version,
                confirmedAt == Double.NEGATIVE_INFINITY ? 0 : (long) confirmedAt,
                members.values().stream()
                        .filter(member -> !member.isConfigured())
                        .map(Member::toStored)
                        .toList());
    }
}
