package sagepulley.membership;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * Merges the directory's updates, the list on disk, the site file and the nodes' handshakes into
 * one view of the nodes. docs/membership.md defines how far each source is trusted. Does no I/O;
 * the caller supplies the time, in wall-clock milliseconds that do not decrease while the process
 * runs, and the source of randomness. Owned by the engine's thread.
 *
 * <p>A restriction (draining, removed, wrong identity) takes effect at once, from any source. A
 * permission takes effect as far as its source is trusted, or once a handshake with the node
 * confirms it.
 */
public class Membership {
    /**
     * Configures how far sources are trusted.
     *
     * @param freshMillis age up to which a list is fresh
     * @param agedMillis age up to which a list is aged; beyond it the list is old
     * @param maxConcurrentProbes maximum number of nodes probed at the same time
     * @param probeIntervalMillis minimum time between the starts of two probes
     * @param verificationMillis how long a node stays verified after its connection ended
     * @param omissionGraceMillis how long a node stays that a list of another history omits
     * @param initialHoldDownMillis first hold-down of a flapping node; doubles with each further
     *     flap
     * @param maxHoldDownMillis maximum hold-down
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
        /** The policy of a gateway whose site file does not configure one. */
        public static final Policy DEFAULT =
                new Policy(300_000, 86_400_000, 4, 50, 60_000, 30_000, 5_000, 120_000);
    }

    /** The result of a node's handshake for attempts that wait to be sent to it. */
    public enum HandshakeVerdict {
        /** The expected node answered, and earlier routing decisions remain valid. */
        ACCEPTED,
        /**
         * The expected node answered, but it has begun to drain or has restarted: attempts must be
         * rerouted.
         */
        REROUTE,
        /** Another node or cell answered, or the node is not known: nothing may be sent there. */
        WRONG_NODE
    }

    /**
     * The result of an update.
     *
     * @param accepted whether the whole update was applied; only the restrictions of a stale one
     *     are
     * @param changed whether a member's use may have changed
     * @param reason why the update was not accepted, or a remark on an accepted one; may be empty
     */
    public record UpdateResult(boolean accepted, boolean changed, String reason) {
        private static UpdateResult rejected(String reason) {
            return new UpdateResult(false, false, reason);
        }
    }

    /**
     * A node and how it is to be used; the property names are those of /nodes.
     *
     * @param verified whether a recent handshake confirmed the node's identity
     * @param reason why the node is to be used this way
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
     * If a stored confirmation lies further than this in the future, the clock was set back and the
     * age of the list is unknown.
     */
    private static final double CLOCK_TOLERANCE_MILLIS = 1_000;

    private final String site;
    private final Policy policy;
    private final RandomGenerator random;

    /** Members by node id, in the order of views and probes. */
    private final Map<Integer, Member> members = new TreeMap<>();

    private long history;
    private long version;
    private double confirmedAt = Double.NEGATIVE_INFINITY;
    private ListFreshness lastFreshness = ListFreshness.OLD;
    private double lastProbeAt = Double.NEGATIVE_INFINITY;

    /** Creates a membership without members, which rejects updates for another site. */
    public Membership(String site, Policy policy, RandomGenerator random) {
        this.site = site;
        this.policy = policy;
        this.random = random;
    }

    // ---- sources ----

    /** Restores the list that an earlier incarnation stored or an operator imported. */
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

    /**
     * Adds the nodes of the site file, unless another source has listed them. They are verified
     * before use, and any other source overrides them.
     */
    public void addConfigured(List<EndpointRecord> endpoints) {
        for (EndpointRecord endpoint : endpoints) {
            members.computeIfAbsent(endpoint.node(), id -> new Member(endpoint, RecordSource.SITE));
        }
    }

    /** Applies an endpoint list, or changes to it, that a directory sent. */
    public UpdateResult applyUpdate(EndpointListUpdate update, double now) {
        if (!update.site().isEmpty() && !update.site().equals(site)) {
            return UpdateResult.rejected(
                    "list is for site '" + update.site() + "', expected '" + site + "'");
        }
        if (update.complete() && update.endpoints().isEmpty() && !members.isEmpty()) {
            return UpdateResult.rejected("complete list is empty although nodes are known");
        }
        boolean isStale = update.history() == history && update.version() < version;
        boolean isOtherHistory = history != 0 && update.history() != history;
        boolean changed = false;
        for (EndpointRecord endpoint : update.endpoints()) {
            changed |= applyRecord(endpoint, isStale, now);
        }
        if (isStale) {
            // Only restrictions were applied; permissions require a newer list or a handshake.
            return new UpdateResult(
                    false,
                    changed,
                    "version "
                            + update.version()
                            + " is older than the current version "
                            + version);
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
                        ? "list has another history: omissions take effect after a grace period"
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

    /** Handles the members that a complete list omits, except those of the site file. */
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
     * Records the result of a handshake.
     *
     * @param node the node that the connection was opened to
     * @param answeringNode the node that answered
     * @param cell the cell that the answering node holds
     * @param draining whether the node reports that it is draining
     * @param startedAt when the node started, in wall-clock milliseconds; 0 for long ago
     */
    public HandshakeVerdict handshakeCompleted(
            int node, int answeringNode, int cell, boolean draining, long startedAt, double now) {
        Member member = members.get(node);
        if (member == null) {
            return HandshakeVerdict.WRONG_NODE;
        }
        if (answeringNode != node) {
            member.exclude(
                    "node " + answeringNode + " answered at the address of node " + node,
                    now,
                    random);
            return HandshakeVerdict.WRONG_NODE;
        }
        int expectedCell = member.endpoint().cell();
        if (cell != expectedCell) {
            member.exclude(
                    "node holds cell " + cell + ", expected cell " + expectedCell, now, random);
            return HandshakeVerdict.WRONG_NODE;
        }
        return member.markVerified(draining, startedAt, now)
                ? HandshakeVerdict.ACCEPTED
                : HandshakeVerdict.REROUTE;
    }

    /** Records that a connected node announced that it is draining. */
    public void drainAnnounced(int node) {
        Member member = members.get(node);
        if (member != null) {
            member.drainAnnounced();
        }
    }

    /** Records that the connection to a node ended or could not be opened. */
    public void disconnected(int node, double now) {
        Member member = members.get(node);
        if (member != null) {
            member.disconnected(now, random);
        }
    }

    /**
     * Returns the node to probe now, if any: the one with the earliest last probe of those that
     * need one. The caller must probe it, as it counts as probed.
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

    /** Returns how far the list is trusted now. */
    public ListFreshness freshness(double now) {
        double age = age(now);
        if (age <= policy.freshMillis()) {
            return ListFreshness.FRESH;
        }
        return age <= policy.agedMillis() ? ListFreshness.AGED : ListFreshness.OLD;
    }

    /**
     * Returns the milliseconds since a directory confirmed the list; infinite if none did or the
     * clock was set back.
     */
    public double age(double now) {
        return now - confirmedAt;
    }

    /**
     * Records that an open subscription confirmed the list without changes. Returns whether the
     * list's freshness changed.
     */
    public boolean confirmed(double now) {
        confirmedAt = now;
        return updateFreshness(now);
    }

    /**
     * Ends grace periods and hold-downs that have expired, and updates the freshness. Returns
     * whether a member's use may have changed.
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

    // ---- views ----

    /** Returns every known node in the order of ids, and how it is to be used now. */
    public List<MemberView> members(double now) {
        ListFreshness freshness = freshness(now);
        return members.values().stream()
                .map(member -> member.view(now, freshness, policy))
                .toList();
    }

    /** Returns whether no node is known. */
    public boolean isEmpty() {
        return members.isEmpty();
    }

    /** Returns the list to store on disk, which has no nodes of the site file. */
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
