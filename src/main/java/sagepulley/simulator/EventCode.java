package sagepulley.simulator;

/** The protocol's event codes, in the first byte of a record. */
final class EventCode {
    static final int HEALTH_CHECK_ENDED = 1;
    static final int STREAM = 2;
    static final int PEER_MESSAGE = 3;
    static final int ENDPOINT_LIST = 4;
    static final int GATEWAY_STARTED = 5;
    static final int ARRIVAL = 6;
    static final int CLIENT_CANCELLED = 7;
    static final int LIST_TABLE = 8;
    static final int GATEWAY_STOPPED = 9;
    static final int TIMER = 10;
    static final int ATTEMPT_ENDED = 11;

    private EventCode() {}
}
