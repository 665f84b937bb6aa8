package sagepulley.simulator;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Encodes the decisions of one gateway in one batch as records of the protocol. Times are
 * nanoseconds.
 */
final class ReplyWriter {
    /** Size of the record of a decision. */
    static final int RECORD_BYTES = 32;

    private static final int INITIAL_RECORDS = 64;

    // The protocol's decision codes, in the first byte of a record.
    private static final int SEND = 65;
    private static final int REJECT = 66;
    private static final int ABANDON = 67;
    private static final int CANCEL = 68;
    private static final int WAKE_UP = 69;
    private static final int CHECK_HEALTH = 70;
    private static final int FATAL = 74;
    private static final int OPEN_WATCH = 75;
    private static final int POLL_ENDPOINT_LIST = 76;

    private final int gatewayId;
    private ByteBuffer records = ByteBuffer.allocate(INITIAL_RECORDS * RECORD_BYTES);
    private String fatal;

    ReplyWriter(int gatewayId) {
        this.gatewayId = gatewayId;
    }

    ByteBuffer records() {
        return records;
    }

    /** Returns the text of a fatal error, whose record is the last; null if there is none. */
    String fatalText() {
        return fatal;
    }

    void clear() {
        records.clear();
        fatal = null;
    }

    void send(long operation, int node, long timeoutNs) {
        int at = record(SEND);
        records.putLong(at + 5, operation).putLong(at + 13, timeoutNs).putInt(at + 21, node);
    }

    void reject(long operation, long retryAfterNs) {
        int at = record(REJECT);
        records.putLong(at + 5, operation).putLong(at + 13, retryAfterNs);
    }

    void abandon(long operation) {
        records.putLong(record(ABANDON) + 5, operation);
    }

    void cancel(long operation, int attempt) {
        int at = record(CANCEL);
        records.putLong(at + 5, operation).put(at + 13, (byte) attempt);
    }

    void wakeUp(long token, long offsetNs) {
        int at = record(WAKE_UP);
        records.putLong(at + 5, token).putLong(at + 13, offsetNs);
    }

    void checkHealth(int node) {
        records.putInt(record(CHECK_HEALTH) + 5, node);
    }

    void openWatch() {
        records.put(record(OPEN_WATCH) + 5, (byte) 1);
    }

    void pollEndpointList() {
        record(POLL_ENDPOINT_LIST);
    }

    /** Reports that the gateway failed fatally; no record may follow. */
    void fatal(String message) {
        record(FATAL);
        fatal = message;
    }

    byte[] fatalBytes() {
        return fatal.getBytes(StandardCharsets.UTF_8);
    }

    private int record(int code) {
        int at = records.position();
        if (records.remaining() < RECORD_BYTES) {
            ByteBuffer larger = ByteBuffer.allocate(records.capacity() * 2);
            records.flip();
            larger.put(records);
            records = larger;
        }
        Arrays.fill(records.array(), at, at + RECORD_BYTES, (byte) 0);
        records.put(at, (byte) code).putInt(at + 1, gatewayId);
        records.position(at + RECORD_BYTES);
        return at;
    }
}
