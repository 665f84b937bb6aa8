package sagepulley.simulator;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** The actions of one instance in one batch, written as the wire has them. */
final class ReplyWriter {
    static final int RECORD = 32;
    private static final int TRY = 65;
    private static final int SHED = 66;
    private static final int ERROR = 67;
    private static final int RETRACT = 68;
    private static final int WAKE_AT = 69;
    private static final int INSPECT = 70;
    private static final int FATAL = 74;
    private static final int SUBSCRIBE = 75;
    private static final int RELOAD = 76;

    private final int who;
    private ByteBuffer records = ByteBuffer.allocate(64 * RECORD);
    private String fatal;

    ReplyWriter(int who) {
        this.who = who;
    }

    ByteBuffer records() {
        return records;
    }

    /** The text of a Fatal, whose record is the last; null for none. */
    String fatalText() {
        return fatal;
    }

    void clear() {
        records.clear();
        fatal = null;
    }

    void send(long operation, int node, long timeoutNs) {
        int at = record(TRY);
        records.putLong(at + 5, operation).putLong(at + 13, timeoutNs).putInt(at + 21, node);
    }

    void decline(long operation, long adviceNs) {
        int at = record(SHED);
        records.putLong(at + 5, operation).putLong(at + 13, adviceNs);
    }

    void scrap(long operation) {
        records.putLong(record(ERROR) + 5, operation);
    }

    void callOff(long operation, int attempt) {
        int at = record(RETRACT);
        records.putLong(at + 5, operation).put(at + 13, (byte) attempt);
    }

    void wake(long cookie, long offsetNs) {
        int at = record(WAKE_AT);
        records.putLong(at + 5, cookie).putLong(at + 13, offsetNs);
    }

    void probe(int node) {
        records.putInt(record(INSPECT) + 5, node);
    }

    void subscribe() {
        records.put(record(SUBSCRIBE) + 5, (byte) 1);
    }

    void fetch() {
        record(RELOAD);
    }

    void fatal(String what) {
        record(FATAL);
        fatal = what;
    }

    byte[] fatalBytes() {
        return fatal.getBytes(StandardCharsets.UTF_8);
    }

    private int record(int code) {
        int at = records.position();
        if (records.remaining() < RECORD) {
            ByteBuffer wider = ByteBuffer.allocate(records.capacity() * 2);
            records.flip();
            wider.put(records);
            records = wider;
        }
        Arrays.fill(records.array(), at, at + RECORD, (byte) 0);
        records.put(at, (byte) code).putInt(at + 1, who);
        records.position(at + RECORD);
        return at;
    }
}
