package sagepulley.codec.resp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Writes RESP2. */
public final class RespBytes {
    private static final byte[] CRLF = {'\r', '\n'};
    private static final int HEAD = 16;

    private RespBytes() {}

    /** A command of these words. */
    public static ByteBuf command(List<byte[]> words) {
        int size = HEAD;
        for (byte[] word : words) {
            size += HEAD + word.length;
        }
        ByteBuf to = Unpooled.buffer(size);
        head(to, '*', words.size());
        for (byte[] word : words) {
            bulk(to, word);
        }
        return to;
    }

    /** A bulk string; the bytes are not copied and must not change any more. */
    public static ByteBuf bulk(byte[] bytes) {
        ByteBuf first = Unpooled.buffer(HEAD);
        head(first, '$', bytes.length);
        return Unpooled.wrappedBuffer(
                first, Unpooled.wrappedBuffer(bytes), Unpooled.wrappedBuffer(CRLF));
    }

    /** A simple string; the text has neither CR nor LF. */
    public static ByteBuf simple(String text) {
        return line('+', text);
    }

    /** An error line; what cannot stand in a line is left out. */
    public static ByteBuf error(String text) {
        return line('-', text.replaceAll("[^ -~]", "?"));
    }

    private static ByteBuf line(char kind, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        return Unpooled.buffer(bytes.length + 3).writeByte(kind).writeBytes(bytes).writeBytes(CRLF);
    }

    private static void bulk(ByteBuf to, byte[] bytes) {
        head(to, '$', bytes.length);
        to.writeBytes(bytes).writeBytes(CRLF);
    }

    private static void head(ByteBuf to, char kind, int count) {
        to.writeByte(kind).writeCharSequence(Integer.toString(count), StandardCharsets.US_ASCII);
        to.writeBytes(CRLF);
    }
}
