package sagepulley.faultinjection;

/**
 * Behaviour of the stand-in discovery service.
 *
 * @param mode whether calls are answered
 * @param firstByteDelayMillis delay before an answer begins
 * @param trickleMillis time over which a list is written
 * @param queue queueing of calls; null for none
 * @param indented whether lists are written with white space
 */
record DiscoveryBehaviour(
        Mode mode,
        long firstByteDelayMillis,
        long trickleMillis,
        CallQueue queue,
        boolean indented) {
    /** Outcome of a call. */
    enum Mode {
        ANSWERS,
        /** Calls are accepted but not answered. */
        UNRESPONSIVE,
        /** Every call is answered with status 503. */
        REJECTS
    }

    /**
     * Serves calls one at a time; a call that waits longer than the timeout, or arrives when the
     * limit of waiting calls is reached, is answered with status 503.
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

    /** Returns a copy that indents lists. */
    DiscoveryBehaviour withIndentation() {
        return new DiscoveryBehaviour(mode, firstByteDelayMillis, trickleMillis, queue, true);
    }
}
