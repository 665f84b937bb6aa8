package sagepulley.codec.frame;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * A message between processes of this program (docs/protocols.md, Frames). Its receiver owns both
 * buffers.
 *
 * @param type the message type in the connection's protocol
 * @param id the number that an answer repeats
 * @param head the encoded fields
 * @param payload opaque data
 */
public record Frame(int type, long id, ByteBuf head, ByteBuf payload) {
    static final int MAGIC = 0x5350;
    static final int VERSION = 1;

    /**
     * The length of the prefix: magic, version, type, head and payload length, id, and their
     * checksum.
     */
    static final int PREFIX_BYTES = 24;

    /** The length of the suffix, which is the checksum of head and payload. */
    static final int SUFFIX_BYTES = 4;

    /** The maximum length of a head. */
    public static final int MAX_HEAD_BYTES = 1 << 20;

    /** Creates a frame without a payload. */
    public Frame(int type, long id, ByteBuf head) {
        this(type, id, head, Unpooled.EMPTY_BUFFER);
    }

    /** Creates a frame without fields and payload. */
    public Frame(int type, long id) {
        this(type, id, Unpooled.EMPTY_BUFFER, Unpooled.EMPTY_BUFFER);
    }

    /** Releases both buffers. */
    public void release() {
        head.release();
        payload.release();
    }
}
