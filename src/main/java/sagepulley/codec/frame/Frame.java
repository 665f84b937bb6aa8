package sagepulley.codec.frame;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * One message between the program's own processes (docs/protocols.md, Frames). Its holder owns both
 * buffers.
 *
 * @param type what it says, by the protocol of the connection
 * @param id a number that the answer repeats
 * @param head the fields
 * @param payload data that nobody on the way looks into
 */
public record Frame(int type, long id, ByteBuf head, ByteBuf payload) {
    static final int MAGIC = 0x5350;
    static final int VERSION = 1;

    /** Bytes before the head: magic, version, type, both lengths, number, checksum of these. */
    static final int PREFIX_BYTES = 24;

    /** Bytes after the payload: the checksum of head and payload. */
    static final int SUFFIX_BYTES = 4;

    /** The longest head that is accepted. */
    public static final int MAX_HEAD_BYTES = 1 << 20;

    /** A frame without payload. */
    public Frame(int type, long id, ByteBuf head) {
        this(type, id, head, Unpooled.EMPTY_BUFFER);
    }

    /** A frame with neither fields nor payload. */
    public Frame(int type, long id) {
        this(type, id, Unpooled.EMPTY_BUFFER, Unpooled.EMPTY_BUFFER);
    }

    /** Releases both buffers. */
    public void release() {
        head.release();
        payload.release();
    }
}
