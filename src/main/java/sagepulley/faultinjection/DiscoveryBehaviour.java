package sagepulley.faultinjection;

/**
 * How the stand-in for discovery answers calls.
 *
 * @param mode whether it answers at all
 * @param firstByteDelayMillis how long an answer takes to begin
 * @param trickleMillis over how long a list is written
 * @param queue how calls wait for each other; null where they don't
 * @param indented whether lists are written with white space
 */
record DiscoveryBehaviour(
        Mode mode,
        long firstByteDelayMillis,
        long trickleMillis,
        CallQueue queue,
        boolean indented) {
    /** What becomes of a call. */
    enum Mode {
        ANSWERS,
        /** Calls are accepted and get no answer. */
        UNRESPONSIVE,
        /** Every call gets 503. */
        REJECTS
    }

    /**
     * Calls are served one at a time; one that has waited for too long, or finds too many waiting,
     * gets 503.
     */
    record CallQueue(long serviceMillis, long timeoutMillis, int limit) {}

    static final DiscoveryBehaviour HEALTHY =
            new DiscoveryBehaviour(Mode.ANSWERS, 0, 0, null, false);

    static DiscoveryBehaviour delayed(long firstByteDelayMillis) {
        return new DiscoveryBehaviour(Mode.ANSWERS, firstByteDelayMillis, 0, null, false);
    }

    static DiscoveryBehaviour trickling(long millis) {
        return new DiscoveryBehaviour(Mode.ANSWERS, 0, millis, null, false);
    }

    static DiscoveryBehaviour oneAtATime(long serviceMillis, long timeoutMillis, int limit) {
        return new DiscoveryBehaviour(
                Mode.ANSWERS, 0, 0, new CallQueue(serviceMillis, timeoutMillis, limit), false);
    }

    static DiscoveryBehaviour unresponsive() {
        return new DiscoveryBehaviour(Mode.UNRESPONSIVE, 0, 0, null, false);
    }

    static DiscoveryBehaviour rejecting() {
        return new DiscoveryBehaviour(Mode.REJECTS, 0, 0, null, false);
    }

    /** The same with lists that are indented. */
    DiscoveryBehaviour withIndentation() {
        return new DiscoveryBehaviour(mode, firstByteDelayMillis, trickleMillis, queue, true);
    }
}
