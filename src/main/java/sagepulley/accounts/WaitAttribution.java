package sagepulley.accounts;

/**
 * Charges the waits of operations to causes: to the volumes whose units are ahead, and to slowness,
 * slow start, pauses and faults of nodes and the load of other gateways (docs/accounts.md). The
 * charges of a wait sum to its length. Times are milliseconds.
 */
final class WaitAttribution {
    /** Shorter waits are not used to estimate how fast a queue moves. */
    private static final double MIN_QUEUE_SAMPLE_MILLIS = 0.5;

    /** A node that answered within this time may be slow, and is not entirely unresponsive. */
    private static final double RECENT_ANSWER_MILLIS = 1_000;

    /** Lower bound of an estimated wait behind the units ahead, as a fraction of it. */
    private static final double ESTIMATE_LOWER_FRACTION = 0.5;

    /**
     * Charges to the units ahead count as observed if other gateways and pauses take less than this
     * fraction of the time.
     */
    private static final double MAX_EXACT_FRACTION = 0.05;

    private static final double MIN_UNITS = 1e-9;
    private static final double MIN_WRITTEN_UNITS = 1e-3;

    private final NodeActivities nodes;

    WaitAttribution(NodeActivities nodes) {
        this.nodes = nodes;
    }

    /** Charges the time of a step in a component. */
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
     * Charges an attempt without an answer. If the node answered other attempts meanwhile, the
     * typical duration of its attempts is charged like a wait for its queue, and only the excess to
     * its silence. Otherwise all of it is charged to its silence.
     */
    void chargeUnanswered(OperationTimer timer, NodeActivity activity, double length, double now) {
        double queued =
                activity == null ? 0 : Math.min(length, activity.maxTypicalAttempt(now - length));
        if (queued > 0) {
            chargeHeld(timer, LatencyComponent.QUEUE_AT_NODE, queued, now - length + queued);
        }
        chargeSilence(timer, length - queued, now, false);
    }

    /**
     * Charges time of execution. The excess over the service time of other nodes is charged to the
     * node's slowness.
     */
    void chargeWork(OperationTimer timer, NodeActivity activity, double length) {
        double slowMillis =
                activity == null ? 0 : length * nodes.slowFraction(activity, timer.isWrite);
        if (slowMillis > 0) {
            timer.charge(Cause.Kind.SLOW_NODE, activity.id, slowMillis, false);
        }
        timer.chargeOwn(Cause.Kind.OWN_WORK, length - slowMillis);
    }

    /**
     * Charges a wait in the node's queue, as reported by the node.
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
     * Charges a wait at this gateway for a slot at a node or because of its queue estimate. Slots
     * become free as attempts end, so the time that silence, slow start, pauses or the load of
     * other gateways add is charged to those causes, and only the remainder to the volumes that
     * hold the slots.
     */
    private void chargeHeld(
            OperationTimer timer, LatencyComponent component, double length, double now) {
        if (timer.workAhead == null) {
            timer.charge(Cause.Kind.LOCAL_THROTTLING, timer.node, length, false);
            return;
        }
        // Operations that wait for a claim also hold slots.
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

    /**
     * Charges the wait of a new object for which no node has a slot: it waits behind all units in
     * flight.
     */
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
        // A queue estimate is derived from answers only, so the volumes in that queue are not
        // observed.
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

    /** A wait in milliseconds with its lower and upper bound. */
    private record Estimate(double length, double lowerBound, double upperBound) {}

    /**
     * Charges a wait to the volumes of the units ahead, except for the part that a slow node adds.
     * Units in a higher quota tier are entitled to precede the operation, so that the wait behind
     * them is charged to the volume's own load.
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

    /**
     * Charges a wait for an unresponsive node. If the node answered recently, its slowness is
     * charged first.
     */
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

    /**
     * Charges time in which a node was silent: to pauses in the proportion in which its recent
     * silences were pauses, the remainder to a fault.
     */
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
     * Charges time that neither the units ahead nor other gateways explain to a pause of the node,
     * divided among volumes by their recent writes.
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
