package sagepulley.codec.resp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Encodes RESP2 commands and values. */
public final class RespEncoder {
    private static final byte[] CRLF = {'\r', '\n'};
    private static final int MAX_HEADER_BYTES = 16;

    private RespEncoder() {}

    /**
     * Encodes a command from its arguments, starting with its name. The last argument is not copied
     * and must not change afterwards.
     */
    public static ByteBuf command(List<byte[]> arguments) {
        int size = MAX_HEADER_BYTES;
        for (byte[] argument : arguments) {
            size += MAX_HEADER_BYTES + argument.length;
        }
        int last = arguments.size() - 1;
        byte[] lastArgument = arguments.get(last);
        ByteBuf out = Unpooled.buffer(size - lastArgument.length);
        writeHeader(out, '*', arguments.size());
        for (byte[] argument : arguments.subList(0, last)) {
            writeHeader(out, '$', argument.length);
            out.writeBytes(argument).writeBytes(CRLF);
        }
        writeHeader(out, '$', lastArgument.length);
        return Unpooled.wrappedBuffer(
                out, Unpooled.wrappedBuffer(lastArgument), Unpooled.wrappedBuffer(CRLF));
    }

    /** Encodes a bulk string. The bytes are not copied and must not change afterwards. */
    public static ByteBuf bulk(byte[] bytes) {
        ByteBuf first = Unpooled.buffer(MAX_HEADER_BYTES);
        writeHeader(first, '$', bytes.length);
        return Unpooled.wrappedBuffer(
                first, Unpooled.wrappedBuffer(bytes), Unpooled.wrappedBuffer(CRLF));
    }

    /** Encodes a simple string; the text must contain neither CR nor LF. */
    public static ByteBuf simple(String text) {
        return line('+', text);
    }

    /** Encodes an error; each character that is not printable ASCII becomes a question mark. */
    public static ByteBuf error(String text) {
        return line('-', text.replaceAll("[^ -~]", "?"));
    }

    private static ByteBuf line(char kind, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        return Unpooled.buffer(bytes.length + 3).writeByte(kind).writeBytes(bytes).writeBytes(CRLF);
    }

    private static void writeHeader(ByteBuf out, char kind, int count) {
        out.writeByte(kind).writeCharSequence(Integer.toString(count), StandardCharsets.US_ASCII);
        out.writeBytes(CRLF);
    }
}
