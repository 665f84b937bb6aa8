package sagepulley.codec.nbd;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * All that a server answered to one request. Its holder owns the data. Built and read on the
 * connection's event loop.
 */
public final class NbdReply {
    /** A chunk of a read: data, or a hole of so many bytes where the data is null. */
    public record Chunk(long offset, int length, ByteBuf data) {}

    /** The first error, by its number in the protocol text; 0 for none. */
    public int error;

    /** The message of the first error. */
    public String message = "";

    /** Where in the export the first error occurred; negative if unknown. */
    public long errorOffset = -1;

    /** Where in the export each error of a structured reply occurred; negative if unknown. */
    public final List<Long> errorOffsets = new ArrayList<>(0);

    /** The chunks of a read, in the order in which they came. */
    public final List<Chunk> chunks = new ArrayList<>(1);

    /** Lengths and flags of base:allocation by turns. */
    public int[] blocks = {};

    /** The read's data in order, holes as zeroes; the caller owns it, the chunks are used up. */
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

    /** Adds a chunk of a structured reply, and takes over its data. */
    void add(NbdClientDecoder.Chunk chunk) {
        switch (chunk.type()) {
            case NbdConstants.CHUNK_OFFSET_DATA ->
                    chunks.add(
                            new Chunk(chunk.offset(), chunk.data().readableBytes(), chunk.data()));
            case NbdConstants.CHUNK_OFFSET_HOLE -> {
                chunks.add(new Chunk(chunk.offset(), chunk.data().readInt(), null));
                chunk.data().release();
            }
            case NbdConstants.CHUNK_BLOCK_STATUS -> {
                blocks = blockDescriptors(chunk.data());
                chunk.data().release();
            }
            case NbdConstants.CHUNK_NONE -> chunk.data().release();
            default -> addError(chunk);
        }
    }

    private static int[] blockDescriptors(ByteBuf data) {
        data.readInt(); // the metadata context: there is only one
        List<Integer> descriptors = new ArrayList<>();
        while (data.readableBytes() >= 4) {
            descriptors.add(data.readInt());
        }
        return descriptors.stream().mapToInt(Integer::intValue).toArray();
    }

    private void addError(NbdClientDecoder.Chunk chunk) {
        if (error == 0) {
            error = chunk.error();
            message = chunk.message();
            errorOffset = chunk.offset();
        }
        errorOffsets.add(chunk.offset());
    }

    /** Releases the data. */
    public void release() {
        for (Chunk chunk : chunks) {
            if (chunk.data() != null) {
                chunk.data().release();
            }
        }
        chunks.clear();
    }
}
