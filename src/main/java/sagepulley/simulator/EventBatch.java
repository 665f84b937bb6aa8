package sagepulley.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** One batch of events, read in place: records of a fixed size and a tail for what is longer. */
final class EventBatch {
    /** Size of an event's record. */
    static final int RECORD_BYTES = 56;

    /** Size of an entry of an endpoint list in the tail. */
    static final int ENTRY_BYTES = 22;

    private static final int HEADER_BYTES = 12;
    private static final int CLOCK_BYTES = 8;
    private static final int INITIAL_BUFFER_BYTES = 1 << 16;

    private final InputStream in;
    private final byte[] header = new byte[HEADER_BYTES];
    private byte[] bytes = new byte[INITIAL_BUFFER_BYTES];
    private ByteBuffer body = ByteBuffer.wrap(bytes);
    private int number;
    private int records;
    private int length;
    private long frames;

    EventBatch(InputStream in) {
        this.in = in;
    }

    /** Reads the next batch; false if the input ends between two batches. */
    boolean read() throws IOException {
        int got = in.readNBytes(header, 0, HEADER_BYTES);
        if (got == 0) {
            return false;
        }
        frames++;
        if (got < HEADER_BYTES) {
            throw bad("the header ends after " + got + " of " + HEADER_BYTES + " bytes");
        }
        ByteBuffer head = ByteBuffer.wrap(header);
        number = head.getInt();
        long count = Integer.toUnsignedLong(head.getInt());
        long size = Integer.toUnsignedLong(head.getInt());
        if (size < CLOCK_BYTES + count * RECORD_BYTES
                || size > Integer.MAX_VALUE - INITIAL_BUFFER_BYTES) {
            throw bad("a length of " + size + " bytes does not fit " + count + " records");
        }
        records = (int) count;
        length = (int) size;
        fill();
        return true;
    }

    /**
     * Grows the buffer as bytes come, so that a wrong length cannot claim memory that no input
     * backs.
     */
    private void fill() throws IOException {
        int have = 0;
        while (have < length) {
            if (have == bytes.length) {
                bytes =
                        Arrays.copyOf(
                                bytes,
                                (int)
                                        Math.min(
                                                (long) bytes.length * 2,
                                                Math.max(length, INITIAL_BUFFER_BYTES)));
            }
            int got = in.readNBytes(bytes, have, Math.min(length, bytes.length) - have);
            if (got == 0) {
                throw bad("the input ends after " + have + " of " + length + " bytes");
            }
            have += got;
        }
        if (body.array() != bytes) {
            body = ByteBuffer.wrap(bytes);
        }
    }

    MalformedFrameException bad(String what) {
        return new MalformedFrameException("frame " + frames + ": " + what);
    }

    MalformedFrameException badRecord(int record, String what) {
        return bad("record " + record + ": " + what);
    }

    int number() {
        return number;
    }

    int records() {
        return records;
    }

    long clock() {
        return body.getLong(0);
    }

    int u8(int record, int at) {
        return body.get(CLOCK_BYTES + record * RECORD_BYTES + at) & 0xff;
    }

    int u16(int record, int at) {
        return body.getShort(CLOCK_BYTES + record * RECORD_BYTES + at) & 0xffff;
    }

    int u32(int record, int at) {
        return body.getInt(CLOCK_BYTES + record * RECORD_BYTES + at);
    }

    long u64(int record, int at) {
        return body.getLong(CLOCK_BYTES + record * RECORD_BYTES + at);
    }

    float f32(int record, int at) {
        return body.getFloat(CLOCK_BYTES + record * RECORD_BYTES + at);
    }

    /**
     * The position in the body of a part of the tail: so many elements of a size, as an offset and
     * a count in the record say; checked to lie inside the tail.
     */
    int tail(int record, int at, int each) throws MalformedFrameException {
        long offset = Integer.toUnsignedLong(u32(record, at));
        long count = Integer.toUnsignedLong(u32(record, at + 4));
        int start = CLOCK_BYTES + records * RECORD_BYTES;
        if (offset + count * each > length - start) {
            throw badRecord(
                    record,
                    "position "
                            + offset
                            + " with "
                            + count
                            + " is out of the tail's "
                            + (length - start)
                            + " bytes");
        }
        return start + (int) offset;
    }

    String text(int record, int at) throws MalformedFrameException {
        int start = tail(record, at, 1);
        return new String(bytes, start, u32(record, at + 4), StandardCharsets.UTF_8);
    }

    byte[] copy(int from, int count) {
        return Arrays.copyOfRange(bytes, from, from + count);
    }
}
