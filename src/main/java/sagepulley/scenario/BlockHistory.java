package sagepulley.scenario;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks the data of reads against the writes of a run. Thread-safe.
 *
 * <p>Every write fills its blocks with a unique stamp. A read may return a write only if no other
 * write began after that write ended and was acknowledged before the read began.
 */
public final class BlockHistory {
    private static final int MAX_DESCRIBED_BREACHES = 100;
    static final int BLOCK_BYTES = 4096;

    /** A write: its stamp, when it began and ended, and whether it was acknowledged. */
    public static final class Write {
        final long stamp;
        final long begin;
        volatile long end = Long.MAX_VALUE;
        volatile boolean acknowledged;

        Write(long stamp, long begin) {
            this.stamp = stamp;
            this.begin = begin;
        }

        /** Records that the write was answered or that its connection ended. */
        public void complete(long nanos, boolean succeeded) {
            acknowledged = succeeded;
            end = nanos;
        }
    }

    private record BlockAddress(int volume, long block) {}

    private final Map<BlockAddress, List<Write>> writes = new HashMap<>();
    private final List<String> breaches = new ArrayList<>();
    private long lastStamp;
    private long checkedBlocks;

    /** Records a write of whole blocks that is about to be sent. */
    public synchronized Write begin(int volume, long offset, int length, long nanos) {
        Write write = new Write(++lastStamp, nanos);
        for (long block = offset / BLOCK_BYTES; block < (offset + length) / BLOCK_BYTES; block++) {
            writes.computeIfAbsent(new BlockAddress(volume, block), address -> new ArrayList<>())
                    .add(write);
        }
        return write;
    }

    /** Returns the data of a write: its stamp, repeated. */
    public static ByteBuf payload(ByteBufAllocator alloc, Write write, int length) {
        ByteBuf data = alloc.ioBuffer(length);
        for (int i = 0; i < length; i += 8) {
            data.writeLong(write.stamp);
        }
        return data;
    }

    /** Checks the data of a read that was sent at begin and answered at end. */
    public synchronized void check(int volume, long offset, ByteBuf data, long begin, long end) {
        for (int position = 0;
                position + BLOCK_BYTES <= data.readableBytes();
                position += BLOCK_BYTES) {
            long stamp = data.getLong(data.readerIndex() + position);
            long block = (offset + position) / BLOCK_BYTES;
            for (int i = 8; i < BLOCK_BYTES; i += 8) {
                if (data.getLong(data.readerIndex() + position + i) != stamp) {
                    addBreach(
                            "block "
                                    + block
                                    + " of volume "
                                    + volume
                                    + " is torn: it mixes writes");
                    break;
                }
            }
            checkedBlocks++;
            checkStamp(volume, block, stamp, begin);
        }
    }

    private void checkStamp(int volume, long block, long stamp, long begin) {
        List<Write> blockWrites = writes.getOrDefault(new BlockAddress(volume, block), List.of());
        Write shown = null;
        for (Write write : blockWrites) {
            if (write.stamp == stamp) {
                shown = write;
            }
        }
        if (shown == null && stamp != 0) {
            addBreach(
                    "block "
                            + block
                            + " of volume "
                            + volume
                            + " holds stamp "
                            + stamp
                            + ", which was never written to it");
            return;
        }
        long shownEnd = shown == null ? Long.MIN_VALUE : shown.end;
        for (Write newer : blockWrites) {
            if (newer.acknowledged && newer.begin > shownEnd && newer.end < begin) {
                addBreach(
                        "block "
                                + block
                                + " of volume "
                                + volume
                                + " shows "
                                + (shown == null ? "no write" : "write " + stamp)
                                + " although write "
                                + newer.stamp
                                + " was acknowledged after it, "
                                + (begin - newer.end) / 1_000_000
                                + " ms before the read");
                return;
            }
        }
    }

    private void addBreach(String description) {
        if (breaches.size() < MAX_DESCRIBED_BREACHES) {
            breaches.add(description);
        }
    }

    /** Returns the number of blocks checked. */
    public synchronized long checkedBlocks() {
        return checkedBlocks;
    }

    /** Returns descriptions of the first invalid reads, at most 100. */
    public synchronized List<String> breaches() {
        return List.copyOf(breaches);
    }
}
