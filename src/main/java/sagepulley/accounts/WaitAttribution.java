package sagepulley.accounts;

/**
 * Charges what an operation waited to causes: the units ahead of it by volume, and what a node's
 * slowness, slow start, pauses, faults and other gateways' work add (docs/accounts.md). Charges of
 * a wait sum to its length. Times are milliseconds.
 */
final class WaitAttribution {
    /** A wait that is shorter tells nothing of how fast a queue moves. */
    private static final double MIN_QUEUE_SAMPLE_MILLIS = 0.5;

    /** A slow node that answered within this time is not unresponsive. */
    private static final double RECENT_ANSWER_MILLIS = 1_000;

    /** Of a wait that is estimated, the part that is charged at least to those ahead. */
    private static final double ESTIMATE_LOWER_FRACTION = 0.5;

    /** With less than this lost to other gateways and pauses, who is ahead is known exactly. */
    private static final double MAX_EXACT_FRACTION = 0.05;

    private static final double MIN_UNITS = 1e-9;
    private static final double MIN_WRITTEN_UNITS = 1e-3;

    private final NodeActivities nodes;

    WaitAttribution(NodeActivities nodes) {
        this.nodes = nodes;
    }

    /** Charges time that was spent in a component. */
    void charge(OperationTimer timer, LatencyComponent component, double length, double now) {
        switch (component) {
            case RESERVATION_FULL, SHARE_FULL, EXCESS_FULL, LOWER_PRIORITY, QUEUE_AT_NODE ->
                    chargeHeld(timer, component, length, now);
            case RETRY_BUDGET ->
                    timer.charge(Cause.Kind.LOCAL_THROTTLING, timer.node, length, false);
            case LIMIT -> timer.chargeOwn(Cause.Kind.OWN_LIMIT, length);
            case KEY_ORDER -> timer.chargeOwn(Cause.Kind.OWN_LOAD, length);
            case WARMING_UP -> timer.charge(Cause.Kind.WARMING_UP_NODE, timer.node, length, false);
            case UNRESPONSIVE -> chargeUnresponsive(timer, length, now);
            case NOT_READY, FAILED_ATTEMPT ->
                    timer.charge(Cause.Kind.FAULT, timer.node, length, false);
            case DIRECTORY -> timer.charge(Cause.Kind.DIRECTORY, 0, length, false);
            case NETWORK -> timer.charge(Cause.Kind.NETWORK, timer.node, length, false);
            case NODE_QUEUE -> timer.charge(Cause.Kind.LOCAL_THROTTLING, timer.node, length, true);
            case NODE_WORK -> timer.chargeOwn(Cause.Kind.OWN_WORK, length);
        }
    }

    /**
     * Charges an attempt without an answer. From a node that answered others meanwhile, what its
     * attempts usually take is due to its queue or its slowness; only what goes beyond that is the
     * node's fault, as all of it is of a quiet node.
     */
    void chargeUnanswered(OperationTimer timer, NodeActivity activity, double length, double now) {
        double queued =
                activity == null ? 0 : Math.min(length, activity.maxTypicalAttempt(now - length));
        if (queued > 0) {
            chargeHeld(timer, LatencyComponent.QUEUE_AT_NODE, queued, now - length + queued);
        }
        chargeSilence(timer, length - queued, now, false);
    }

    /** Charges time at work: beyond what other nodes take for it, to the node's slowness. */
    void chargeWork(OperationTimer timer, NodeActivity activity, double length) {
        double slowMillis =
                activity == null ? 0 : length * nodes.slowFraction(activity, timer.isWrite);
        if (slowMillis > 0) {
            timer.charge(Cause.Kind.SLOW_NODE, activity.id, slowMillis, false);
        }
        timer.chargeOwn(Cause.Kind.OWN_WORK, length - slowMillis);
    }

    /**
     * Charges a wait in the node's queue, as the node reported it.
     *
     * @param attemptTime milliseconds of the whole attempt
     */
    void chargeQueue(
            OperationTimer timer,
            NodeActivity activity,
            double length,
            double attemptTime,
            double now) {
        if (activity == null) {
            timer.charge(Cause.Kind.LOCAL_THROTTLING, timer.node, length, true);
            return;
        }
        double ownUnits = timer.workAhead == null ? 0 : timer.workAhead.sum();
        double unitsPerAttempt = Math.max(MIN_UNITS, timer.units);
        double minOtherUnits = timer.minOtherAttempts * unitsPerAttempt;
        double maxOtherUnits = timer.maxOtherAttempts * unitsPerAttempt;
        if (ownUnits > 0 && minOtherUnits == 0 && length > MIN_QUEUE_SAMPLE_MILLIS) {
            activity.recordQueueWait(length, ownUnits);
        }
        double maxTypical = activity.maxTypicalWait(ownUnits);
        double behindOwn =
                minOtherUnits + ownUnits > 0 ? length * ownUnits / (ownUnits + minOtherUnits) : 0;
        if (!Double.isNaN(maxTypical)) {
            behindOwn = Math.min(behindOwn, maxTypical);
        }
        double remaining = length - behindOwn;
        double otherGateways = minOtherUnits > 0 ? remaining : 0;
        double paused = remaining - otherGateways;
        if (otherGateways > 0) {
            double lowerBound = length * minOtherUnits / (ownUnits + minOtherUnits);
            chargeOtherGateways(timer, activity, new Estimate(otherGateways, lowerBound, length));
        }
        chargePause(timer, activity, paused, now);
        if (behindOwn > 0) {
            double lowerBound =
                    Double.isNaN(maxTypical)
                            ? 0
                            : behindOwn * ownUnits / (ownUnits + maxOtherUnits);
            chargeWorkAhead(timer, activity, new Estimate(behindOwn, lowerBound, length), false);
        }
        if (attemptTime > 0) {
            activity.recordAttemptBreakdown(otherGateways / attemptTime, paused / attemptTime);
        }
    }

    private static void chargeOtherGateways(
            OperationTimer timer, NodeActivity activity, Estimate wait) {
        timer.charges.add(
                Cause.key(Cause.Kind.OTHER_GATEWAYS, 0, activity.id, true),
                wait.length,
                Math.min(wait.lowerBound, wait.length),
                wait.upperBound,
                0);
    }

    /**
     * Held here for a slot at a node, or by the queue estimate of it: its slots turn over as fast
     * as its attempts end. What the node's silence, its slow start, pauses or other gateways' work
     * add is not due to those who have the slots; the rest is charged to them.
     */
    private void chargeHeld(
            OperationTimer timer, LatencyComponent component, double length, double now) {
        if (timer.workAhead == null) {
            timer.charge(Cause.Kind.LOCAL_THROTTLING, timer.node, length, false);
            return;
        }
        // Operations that wait for a claim hold slots, too.
        double claiming = nodes.claimingUnits(timer.activity);
        double claimWait =
                claiming > 0 ? length * claiming / (claiming + timer.workAhead.sum()) : 0;
        timer.charge(Cause.Kind.DIRECTORY, 0, claimWait, false);
        if (timer.activity == null) {
            chargeHeldForAnyNode(timer, length - claimWait);
        } else {
            chargeHeldForNode(timer, component, length - claimWait, now);
        }
    }

    /** A new object, for which no node has a slot: behind all that is in flight anywhere. */
    private void chargeHeldForAnyNode(OperationTimer timer, double length) {
        if (timer.workAhead.sum() > 0) {
            chargeWorkAhead(timer, null, new Estimate(length, length, length), true);
        } else {
            timer.charge(Cause.Kind.LOCAL_THROTTLING, 0, length, false);
        }
    }

    private void chargeHeldForNode(
            OperationTimer timer, LatencyComponent component, double length, double now) {
        NodeActivity activity = timer.activity;
        double silent = Math.min(length, activity.silentMillis(now - length, now));
        chargeSilence(timer, silent, now, true);
        double remaining = length - silent;
        if (remaining <= 0) {
            return;
        }
        if (now < activity.warmingUpUntil) {
            timer.charge(Cause.Kind.WARMING_UP_NODE, activity.id, remaining, true);
            return;
        }
        chargeHeldForSlot(timer, component, remaining, now);
    }

    private void chargeHeldForSlot(
            OperationTimer timer, LatencyComponent component, double length, double now) {
        NodeActivity activity = timer.activity;
        double paused = length * activity.pausedFraction;
        chargePause(timer, activity, paused, now);
        double otherGateways = length * activity.otherGatewaysFraction;
        timer.charge(Cause.Kind.OTHER_GATEWAYS, activity.id, otherGateways, true);
        double remaining = length - (paused + otherGateways);
        // A queue estimate comes from answers only: who is in that queue is not observed.
        boolean isObserved = component != LatencyComponent.QUEUE_AT_NODE;
        if (timer.workAhead.sum() <= 0) {
            Cause.Kind kind = isObserved ? Cause.Kind.LOCAL_THROTTLING : Cause.Kind.OTHER_GATEWAYS;
            timer.charge(kind, activity.id, remaining, !isObserved);
            return;
        }
        double lowerFraction = isObserved ? 1 : ESTIMATE_LOWER_FRACTION;
        boolean isExact =
                isObserved
                        && activity.otherGatewaysFraction + activity.pausedFraction
                                < MAX_EXACT_FRACTION;
        chargeWorkAhead(
                timer,
                activity,
                new Estimate(remaining, lowerFraction * remaining, remaining + otherGateways),
                isExact);
    }

    /** A wait in milliseconds, and what it can have been. */
    private record Estimate(double length, double lowerBound, double upperBound) {}

    /**
     * Behind the units ahead, by volume; but what a slow node adds is the node's own. Who is in a
     * higher quota tier is entitled to be ahead: then it is one's own load, beyond that tier, that
     * waits.
     */
    private void chargeWorkAhead(
            OperationTimer timer, NodeActivity activity, Estimate wait, boolean isExact) {
        double slowFraction = activity == null ? 0 : nodes.slowFraction(activity, timer.isWrite);
        int node = activity == null ? 0 : activity.id;
        timer.charge(Cause.Kind.SLOW_NODE, node, wait.length * slowFraction, true);
        OutstandingWork ahead = timer.workAhead;
        double sum = ahead.sum();
        for (int i = 0; i < ahead.size(); i++) {
            double fraction = (1 - slowFraction) * ahead.units(i) / sum;
            boolean isOwnLoad =
                    ahead.volume(i) == timer.volume
                            || ahead.quotaTier(i).compareTo(timer.quotaTier) < 0;
            long key =
                    isOwnLoad
                            ? Cause.key(Cause.Kind.OWN_LOAD, timer.volume, node, !isExact)
                            : Cause.key(Cause.Kind.NEIGHBOUR, ahead.volume(i), node, !isExact);
            timer.charges.add(
                    key,
                    wait.length * fraction,
                    wait.lowerBound * fraction,
                    wait.upperBound * fraction,
                    0);
        }
    }

    /** Held for an unresponsive node; but one that is slow and answered lately is just that. */
    private void chargeUnresponsive(OperationTimer timer, double length, double now) {
        NodeActivity activity = timer.activity;
        double slowMillis =
                activity == null || now - activity.lastAnsweredAt > RECENT_ANSWER_MILLIS
                        ? 0
                        : length
                                * Math.max(
                                        nodes.slowFraction(activity, false),
                                        nodes.slowFraction(activity, true));
        timer.charge(Cause.Kind.SLOW_NODE, timer.node, slowMillis, true);
        chargeSilence(timer, length - slowMillis, now, false);
    }

    /** A quiet node: a fault, or a pause as far as its latest quiet times proved to be pauses. */
    private void chargeSilence(
            OperationTimer timer, double length, double now, boolean isEstimated) {
        NodeActivity activity = timer.activity;
        double paused = activity == null ? 0 : length * activity.silencePauseFraction();
        if (paused > 0) {
            chargePause(timer, activity, paused, now);
        }
        timer.charge(Cause.Kind.FAULT, timer.node, length - paused, isEstimated);
    }

    /**
     * What neither the units ahead nor a queue explain: the node paused, perhaps for deferred
     * writes.
     */
    private static void chargePause(
            OperationTimer timer, NodeActivity activity, double length, double now) {
        if (length <= 0) {
            return;
        }
        DecayingUsage recentWrites = activity.recentWrites;
        recentWrites.decay(now);
        double sum = recentWrites.sum();
        if (sum < MIN_WRITTEN_UNITS) {
            timer.charge(Cause.Kind.PAUSE, activity.id, length, true);
            return;
        }
        for (int i = 0; i < recentWrites.size(); i++) {
            timer.charges.add(
                    Cause.key(Cause.Kind.PAUSE, recentWrites.volume(i), activity.id, true),
                    length * recentWrites.units(i) / sum,
                    0,
                    length,
                    0);
        }
    }
}
