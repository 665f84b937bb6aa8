package sagepulley.membership;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.random.RandomGenerator;

/**
 * The state of one node in {@link Membership}: its record and source, the result of its latest
 * handshake, its probe schedule, and its hold-down for flapping. Times are wall-clock milliseconds.
 */
final class Member {
    private static final int MIN_FLAPS_FOR_HOLD_DOWN = 3;
    private static final double FLAP_WINDOW_MILLIS = 60_000;
    private static final int MAX_HOLD_DOWN_DOUBLINGS = 20;
    private static final double PROBE_TIMEOUT_MILLIS = 2_000;
    private static final double MIN_PROBE_DELAY_MILLIS = 500;
    private static final double MAX_PROBE_DELAY_MILLIS = 30_000;
    private static final int MAX_PROBE_DELAY_DOUBLINGS = 10;

    /** The jitter factor of a probe delay is this plus a random number between 0 and 1. */
    private static final double MIN_JITTER_FACTOR = 0.5;

    private EndpointRecord endpoint;
    private RecordSource source;

    /** Whether the directory lists the node as ready. A stale update can only clear this. */
    private boolean listedReady;

    /** Whether the node announced that it is draining. */
    private boolean selfDraining;

    private boolean connected;
    private double verifiedAt = Double.NEGATIVE_INFINITY;

    /** Why this gateway excludes the node regardless of the list; null if it does not. */
    private String exclusion;

    private boolean probing;
    private double probedAt = Double.NEGATIVE_INFINITY;
    private int failedProbes;
    private double nextProbeAt = Double.NEGATIVE_INFINITY;

    /** When the node became ready again, within the flap window. */
    private final Deque<Double> flaps = new ArrayDeque<>();

    private double heldDownUntil = Double.NEGATIVE_INFINITY;

    /** When a complete list of another history omitted the node; NaN if no omission is pending. */
    private double omittedSince = Double.NaN;

    Member(EndpointRecord endpoint, RecordSource source) {
        this.endpoint = endpoint;
        this.source = source;
    }

    /** Creates a member for a node that a directory lists for the first time. */
    static Member listed(EndpointRecord endpoint) {
        Member member = new Member(endpoint, RecordSource.DIRECTORY);
        member.listedReady = endpoint.isReady();
        return member;
    }

    static Member restored(StoredEndpointList.StoredEndpoint stored) {
        RecordSource source =
                stored.source() == RecordSource.DIRECTORY ? RecordSource.DISK : stored.source();
        Member member = new Member(stored.endpoint(), source);
        member.selfDraining = stored.selfDraining();
        return member;
    }

    StoredEndpointList.StoredEndpoint toStored() {
        return new StoredEndpointList.StoredEndpoint(endpoint, source, selfDraining);
    }

    EndpointRecord endpoint() {
        return endpoint;
    }

    int id() {
        return endpoint.node();
    }

    boolean isConfigured() {
        return source == RecordSource.SITE;
    }

    // ---- directory updates ----

    /**
     * Applies a record from an older version of the list, of which only restrictions take effect.
     * Returns whether the phase changed.
     */
    boolean applyStaleRecord(EndpointRecord update) {
        omittedSince = Double.NaN;
        if (update.isReady() || !endpoint.isReady()) {
            return false;
        }
        endpoint = endpoint.withPhase(update.phase());
        listedReady = false;
        return true;
    }

    /**
     * Applies a record from the current version of the list. Returns whether the node's use may
     * have changed.
     */
    boolean applyRecord(EndpointRecord update, Membership.Policy policy, double now) {
        omittedSince = Double.NaN;
        EndpointRecord before = endpoint;
        if (update.isReady() && !before.isReady()) {
            recordFlap(policy, now);
        }
        boolean sameAddress = before.hasSameAddress(update);
        // A later start reported by the node itself overrides a directory that lags.
        long startedAt = Math.max(update.startedAt(), sameAddress ? before.startedAt() : 0);
        endpoint = update.withStartedAt(startedAt);
        source = RecordSource.DIRECTORY;
        listedReady = update.isReady();
        if (!sameAddress || before.cell() != update.cell()) {
            resetContact();
        } else if (exclusion != null && update.isReady()) {
            nextProbeAt = Math.min(nextProbeAt, now);
        }
        if (update.isReady() && update.startedAt() > before.startedAt()) {
            selfDraining = false; // it restarted after the announcement
        }
        return !endpoint.equals(before) || exclusion == null;
    }

    private void recordFlap(Membership.Policy policy, double now) {
        flaps.add(now);
        while (flaps.peek() < now - FLAP_WINDOW_MILLIS) {
            flaps.poll();
        }
        int doublings = flaps.size() - MIN_FLAPS_FOR_HOLD_DOWN;
        if (doublings >= 0) {
            double holdDown =
                    Math.scalb(
                            policy.initialHoldDownMillis(),
                            Math.min(doublings, MAX_HOLD_DOWN_DOUBLINGS));
            heldDownUntil = now + Math.min(policy.maxHoldDownMillis(), holdDown);
        }
    }

    /** Resets what was learned by contact, which does not apply to a new address or cell. */
    private void resetContact() {
        exclusion = null;
        verifiedAt = Double.NEGATIVE_INFINITY;
        connected = false;
        failedProbes = 0;
        nextProbeAt = Double.NEGATIVE_INFINITY;
    }

    /**
     * Handles the omission of the node from a complete list: removes the node or, if the list is of
     * another history, starts the grace period for omissions. Returns whether its use changed.
     */
    boolean markOmitted(boolean isOtherHistory, double now) {
        if (!Double.isNaN(omittedSince)) {
            return false;
        }
        if (isOtherHistory) {
            omittedSince = now;
            return false;
        }
        endpoint = endpoint.withPhase(EndpointRecord.Phase.REMOVED);
        return true;
    }

    /**
     * Ends a grace period and a hold-down that have expired. Returns whether the node's use may
     * have changed.
     */
    boolean advanceTo(double now, Membership.Policy policy) {
        boolean changed = false;
        if (now - omittedSince > policy.omissionGraceMillis()) {
            omittedSince = Double.NaN;
            endpoint = endpoint.withPhase(EndpointRecord.Phase.REMOVED);
            changed = true;
        }
        if (heldDownUntil != Double.NEGATIVE_INFINITY && now >= heldDownUntil) {
            heldDownUntil = Double.NEGATIVE_INFINITY;
            changed = true;
        }
        return changed;
    }

    // ---- contact with the node ----

    /** Excludes the node, because another node answers at its address or it holds another cell. */
    void exclude(String reason, double now, RandomGenerator random) {
        probing = false;
        exclusion = reason;
        connected = false;
        scheduleProbe(now, random);
    }

    /**
     * Records a handshake that confirmed the node's identity. Returns whether earlier routing
     * decisions for the node remain valid.
     */
    boolean markVerified(boolean draining, long startedAt, double now) {
        boolean restarted = startedAt > endpoint.startedAt();
        boolean beganDraining = draining && !selfDraining;
        probing = false;
        exclusion = null;
        failedProbes = 0;
        connected = true;
        verifiedAt = now;
        selfDraining = draining;
        if (restarted) {
            endpoint = endpoint.withStartedAt(startedAt);
        }
        return !beganDraining && !restarted;
    }

    void drainAnnounced() {
        selfDraining = true;
    }

    void disconnected(double now, RandomGenerator random) {
        boolean wasProbing = probing;
        probing = false;
        if (connected) {
            verifiedAt = now;
        }
        connected = false;
        if (wasProbing) {
            scheduleProbe(now, random);
        }
    }

    boolean isVerified(double now, Membership.Policy policy) {
        return connected || now - verifiedAt <= policy.verificationMillis();
    }

    // ---- probes ----

    boolean isProbing() {
        return probing;
    }

    double probedAt() {
        return probedAt;
    }

    void startProbe(double now) {
        probing = true;
        probedAt = now;
    }

    /** Ends a probe that has timed out, and schedules the next. */
    void expireProbe(double now, RandomGenerator random) {
        if (probing && now - probedAt > PROBE_TIMEOUT_MILLIS) {
            probing = false;
            scheduleProbe(now, random);
        }
    }

    private void scheduleProbe(double now, RandomGenerator random) {
        int doublings = Math.min(failedProbes++, MAX_PROBE_DELAY_DOUBLINGS);
        double delay =
                Math.min(MAX_PROBE_DELAY_MILLIS, Math.scalb(MIN_PROBE_DELAY_MILLIS, doublings));
        nextProbeAt = now + delay * (MIN_JITTER_FACTOR + random.nextDouble());
    }

    /**
     * Returns whether the node should be probed now: it is excluded, or it is unverified and the
     * list alone does not suffice to use it. A node that is removed, connected, being probed or
     * whose next probe is not due yet is not probed.
     */
    boolean needsProbe(double now, ListFreshness freshness, Membership.Policy policy) {
        if (probing || connected || now < nextProbeAt || endpoint.isRemoved()) {
            return false;
        }
        if (exclusion != null) {
            return true;
        }
        boolean mayBeReady = !endpoint.isReady() && listedReady;
        return !isVerified(now, policy)
                && (freshness != ListFreshness.FRESH || isConfigured() || mayBeReady);
    }

    // ---- view ----

    /** Returns how the node is to be used now, and the reason. */
    Membership.MemberView view(double now, ListFreshness freshness, Membership.Policy policy) {
        boolean verified = isVerified(now, policy);
        EndpointRecord.Phase phase = endpoint.phase();
        String reason = "listed as ready";
        if (exclusion != null) {
            phase = EndpointRecord.Phase.REMOVED;
            reason = exclusion;
        } else if (phase == EndpointRecord.Phase.REMOVED) {
            reason = "listed as gone, or no longer listed";
        } else if (phase == EndpointRecord.Phase.DRAINING || selfDraining) {
            phase = EndpointRecord.Phase.DRAINING;
            reason = selfDraining ? "node announced that it is draining" : "listed as draining";
        } else if (now < heldDownUntil) {
            phase = EndpointRecord.Phase.DRAINING;
            reason = "held down for flapping";
        } else if (!verified && (freshness == ListFreshness.OLD || isConfigured())) {
            phase = EndpointRecord.Phase.REMOVED;
            reason = "not used before a handshake verifies it";
        } else if (!verified && freshness == ListFreshness.AGED) {
            reason = "endpoint list is aged: no new objects before a handshake verifies the node";
        } else if (verified) {
            reason = "verified by a handshake";
        }
        boolean acceptsNewObjects =
                phase == EndpointRecord.Phase.READY
                        && (freshness == ListFreshness.FRESH || verified);
        return new Membership.MemberView(
                endpoint, phase, acceptsNewObjects, verified, source, reason);
    }
}
