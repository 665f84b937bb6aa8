package sagepulley.discovery.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.json.JsonObjectDecoder;
import sagepulley.transport.MemoryAccount;

/**
 * Splits a byte stream into JSON values, with any white space between them. Keeps a value received
 * in part on the heap, within an account that all requests share.
 */
final class JsonValueDecoder extends JsonObjectDecoder {
    private final MemoryAccount memory;

    /** Bytes of the account that this decoder uses. */
    private int usedBytes;

    JsonValueDecoder(int maxValueBytes, MemoryAccount memory) {
        super(maxValueBytes);
        this.memory = memory;
        setCumulator(this::append);
    }

    /** Returns whether a value has been received in part. */
    boolean hasPartialValue() {
        return actualReadableBytes() > 0;
    }

    private ByteBuf append(ByteBufAllocator allocator, ByteBuf kept, ByteBuf in) {
        try {
            int needed = kept.readableBytes() + in.readableBytes();
            if (needed > usedBytes + memory.availableBytes()) {
                throw new TooLongFrameException(
                        needed + " bytes of lists received in part, no memory for more");
            }
            if (kept.isReadable()) {
                return kept.writeBytes(in);
            }
            kept.release();
            return Unpooled.buffer(in.readableBytes()).writeBytes(in);
        } finally {
            in.release();
        }
    }

    /** Updates the account after input was decoded. */
    void updateMemory() {
        int keptBytes = hasPartialValue() ? internalBuffer().capacity() : 0;
        memory.reserve(keptBytes - usedBytes);
        usedBytes = keptBytes;
    }

    /** Returns the memory to the account; the channel is closed. */
    void releaseMemory() {
        memory.release(usedBytes);
        usedBytes = 0;
    }
}
