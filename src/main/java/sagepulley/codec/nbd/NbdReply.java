package sagepulley.codec.nbd;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The complete reply to one request. Its receiver owns the data. Confined to the connection's event
 * loop.
 */
public final class NbdReply {
    /** A range of a read: data, or {@code length} zeroes if the data is null. */
    public record Chunk(long offset, int length, ByteBuf data) {}

    /** The error number of the first error; 0 for success. */
    public int error;

    /** The message of the first error. */
    public String message = "";

    /** The offset in the export of the first error; negative if unknown. */
    public long errorOffset = -1;

    /** The offsets in the export of all errors of a structured reply; negative if unknown. */
    public final List<Long> errorOffsets = new ArrayList<>(0);

    /** The chunks of a read, in the order of arrival. */
    public final List<Chunk> chunks = new ArrayList<>(1);

    /** Alternating lengths and flags of base:allocation. */
    public int[] blocks = {};

    /**
     * Returns the data of a read in the order of offsets, with holes as zeroes, and clears the
     * chunks. The caller owns the returned buffer.
     */
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

    /** Adds a chunk of a structured reply and takes ownership of its data. */
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
        data.readInt(); // metadata context id: only one context is supported
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
