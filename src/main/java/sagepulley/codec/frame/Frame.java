package sagepulley.codec.frame;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * One message between the program's own parts (docs/protocols.md, Frames): a type, the number that
 * an answer repeats, a short head of fields and a payload that nobody on the way looks into. Its
 * holder owns both buffers.
 */
public record Frame(int type, long id, ByteBuf head, ByteBuf payload) {
    static final int MAGIC = 0x5350;
    static final int VERSION = 1;

    /** Bytes before the head: magic, version, type, both lengths, number, checksum of these. */
    static final int PREFIX = 24;

    /** Bytes after the payload: the checksum of head and payload. */
    static final int SUFFIX = 4;

    /** The longest head that is taken. */
    public static final int MAX_HEAD_BYTES = 1 << 20;

    public Frame(int type, long id, ByteBuf head) {
        this(type, id, head, Unpooled.EMPTY_BUFFER);
    }

    public Frame(int type, long id) {
        this(type, id, Unpooled.EMPTY_BUFFER, Unpooled.EMPTY_BUFFER);
    }

    /** Gives both buffers back. */
    public void release() {
        head.release();
        payload.release();
    }
}
