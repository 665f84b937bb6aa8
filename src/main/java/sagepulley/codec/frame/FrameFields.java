package sagepulley.codec.frame;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/** Reads and writes frame fields that several protocols share. */
public final class FrameFields {
    private static final int MAX_NAME_BYTES = 255;

    private FrameFields() {}

    /** Returns the frame's head, or throws if it has fewer than the given number of bytes. */
    public static ByteBuf requireHead(Frame frame, int bytes) throws MalformedMessageException {
        if (frame.head().readableBytes() < bytes) {
            throw new MalformedMessageException(
                    "message type "
                            + frame.type()
                            + " has "
                            + frame.head().readableBytes()
                            + " bytes of fields, expected at least "
                            + bytes);
        }
        return frame.head();
    }

    /** Writes a string as UTF-8 after its length in one byte; bytes beyond 255 are cut off. */
    public static ByteBuf string(ByteBuf target, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        int length = Math.min(bytes.length, MAX_NAME_BYTES);
        return target.writeByte(length).writeBytes(bytes, 0, length);
    }

    /** Reads a string written by {@link #string(ByteBuf, String)}, or throws if it is truncated. */
    public static String string(ByteBuf source) throws MalformedMessageException {
        int length = source.isReadable() ? source.readUnsignedByte() : -1;
        if (length < 0 || source.readableBytes() < length) {
            throw new MalformedMessageException("truncated name");
        }
        return source.readCharSequence(length, StandardCharsets.UTF_8).toString();
    }
}
