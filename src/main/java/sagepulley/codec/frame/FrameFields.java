package sagepulley.codec.frame;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/** Reads and writes the fields of a frame's head that several protocols share. */
public final class FrameFields {
    private static final int MAX_NAME_BYTES = 255;

    private FrameFields() {}

    /** The frame's head; throws if it has fewer bytes. */
    public static ByteBuf requireHead(Frame frame, int bytes) throws MalformedMessageException {
        if (frame.head().readableBytes() < bytes) {
            throw new MalformedMessageException(
                    "message "
                            + frame.type()
                            + " has "
                            + frame.head().readableBytes()
                            + " bytes of fields, needs "
                            + bytes);
        }
        return frame.head();
    }

    /** Writes a name of up to 255 bytes of UTF-8, its length before it; a longer one is cut. */
    public static ByteBuf string(ByteBuf target, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        int length = Math.min(bytes.length, MAX_NAME_BYTES);
        return target.writeByte(length).writeBytes(bytes, 0, length);
    }

    /** Reads such a name; throws if it is cut off. */
    public static String string(ByteBuf source) throws MalformedMessageException {
        int length = source.isReadable() ? source.readUnsignedByte() : -1;
        if (length < 0 || source.readableBytes() < length) {
            throw new MalformedMessageException("a name is cut off");
        }
        return source.readCharSequence(length, StandardCharsets.UTF_8).toString();
    }
}
