package sagepulley.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Reads one batch of events in place: fixed-size records, then a tail with variable-length data.
 */
final class EventBatch {
    /** Size of the record of an event. */
    static final int RECORD_BYTES = 56;

    /** Size of an endpoint list entry in the tail. */
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
    private long frameCount;

    EventBatch(InputStream in) {
        this.in = in;
    }

    /**
     * Reads the next batch. Returns false if the input ends before it.
     *
     * @throws MalformedFrameException if the input ends within the batch or its length is wrong
     */
    boolean read() throws IOException {
        int received = in.readNBytes(header, 0, HEADER_BYTES);
        if (received == 0) {
            return false;
        }
        frameCount++;
        if (received < HEADER_BYTES) {
            throw malformedFrame(
                    "the header ends after " + received + " of " + HEADER_BYTES + " bytes");
        }
        ByteBuffer head = ByteBuffer.wrap(header);
        number = head.getInt();
        long count = Integer.toUnsignedLong(head.getInt());
        long size = Integer.toUnsignedLong(head.getInt());
        if (size < CLOCK_BYTES + count * RECORD_BYTES
                || size > Integer.MAX_VALUE - INITIAL_BUFFER_BYTES) {
            throw malformedFrame(
                    "a length of " + size + " bytes does not fit " + count + " records");
        }
        records = (int) count;
        length = (int) size;
        fill();
        return true;
    }

    /**
     * Reads the body into a buffer that grows with the received bytes, so that a wrong length in
     * the header cannot cause a large allocation.
     */
    private void fill() throws IOException {
        int bytesRead = 0;
        while (bytesRead < length) {
            if (bytesRead == bytes.length) {
                bytes =
                        Arrays.copyOf(
                                bytes,
                                (int)
                                        Math.min(
                                                (long) bytes.length * 2,
                                                Math.max(length, INITIAL_BUFFER_BYTES)));
            }
            int received =
                    in.readNBytes(bytes, bytesRead, Math.min(length, bytes.length) - bytesRead);
            if (received == 0) {
                throw malformedFrame(
                        "the input ends after " + bytesRead + " of " + length + " bytes");
            }
            bytesRead += received;
        }
        if (body.array() != bytes) {
            body = ByteBuffer.wrap(bytes);
        }
    }

    MalformedFrameException malformedFrame(String detail) {
        return new MalformedFrameException("frame " + frameCount + ": " + detail);
    }

    MalformedFrameException malformedRecord(int record, String detail) {
        return malformedFrame("record " + record + ": " + detail);
    }

    int number() {
        return number;
    }

    int records() {
        return records;
    }

    /** Returns the time of the batch in nanoseconds. */
    long clock() {
        return body.getLong(0);
    }

    int u8(int record, int offset) {
        return body.get(CLOCK_BYTES + record * RECORD_BYTES + offset) & 0xff;
    }

    int u16(int record, int offset) {
        return body.getShort(CLOCK_BYTES + record * RECORD_BYTES + offset) & 0xffff;
    }

    int u32(int record, int offset) {
        return body.getInt(CLOCK_BYTES + record * RECORD_BYTES + offset);
    }

    long u64(int record, int offset) {
        return body.getLong(CLOCK_BYTES + record * RECORD_BYTES + offset);
    }

    float f32(int record, int offset) {
        return body.getFloat(CLOCK_BYTES + record * RECORD_BYTES + offset);
    }

    /**
     * Returns the position in the body of an array in the tail, which a record refers to by an
     * offset and a count.
     *
     * @throws MalformedFrameException if the array exceeds the tail
     */
    int tailPosition(int record, int offset, int elementBytes) throws MalformedFrameException {
        long tailOffset = Integer.toUnsignedLong(u32(record, offset));
        long count = Integer.toUnsignedLong(u32(record, offset + 4));
        int start = CLOCK_BYTES + records * RECORD_BYTES;
        if (tailOffset + count * elementBytes > length - start) {
            throw malformedRecord(
                    record,
                    "offset "
                            + tailOffset
                            + " with "
                            + count
                            + " elements of "
                            + elementBytes
                            + " bytes exceeds the tail of "
                            + (length - start)
                            + " bytes");
        }
        return start + (int) tailOffset;
    }

    String text(int record, int offset) throws MalformedFrameException {
        int start = tailPosition(record, offset, 1);
        return new String(bytes, start, u32(record, offset + 4), StandardCharsets.UTF_8);
    }

    byte[] copy(int start, int count) {
        return Arrays.copyOfRange(bytes, start, start + count);
    }
}
