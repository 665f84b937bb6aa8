package sagepulley.codec.nbd;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * All that a server said of one request. Error is 0 or a number of the protocol text; of several
 * the first counts, and the offset is negative where none was told. The holder releases it.
 */
public final class NbdReply {
    /** One piece of a read: data, or a hole of so many bytes where the data is null. */
    public record Chunk(long offset, int length, ByteBuf data) {}

    public int error;
    public String message = "";
    public long errorOffset = -1;

    /** Where each error of a structured reply was said to lie. */
    public final List<Long> errorOffsets = new ArrayList<>(0);

    public final List<Chunk> chunks = new ArrayList<>(1);

    /** Lengths and flags of base:allocation by turns. */
    public int[] blocks = {};

    /** The read's data in order, holes as zeroes; the pieces are used up. */
    public ByteBuf data() {
        chunks.sort(Comparator.comparingLong(Chunk::offset));
        if (chunks.size() == 1 && chunks.get(0).data() != null) {
            return chunks.remove(0).data();
        }
        CompositeByteBuf joined = Unpooled.compositeBuffer(Integer.MAX_VALUE);
        for (Chunk chunk : chunks) {
            joined.addComponent(
                    true,
                    chunk.data() != null
                            ? chunk.data()
                            : Unpooled.wrappedBuffer(new byte[chunk.length()]));
        }
        chunks.clear();
        return joined;
    }

    public void release() {
        for (Chunk chunk : chunks) {
            if (chunk.data() != null) {
                chunk.data().release();
            }
        }
        chunks.clear();
    }
}
