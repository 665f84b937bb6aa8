package sagepulley.codec.resp;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Decodes RESP2 strictly.
 *
 * <p>A length over its limit is an error as soon as it is read, and bulk strings are allocated only
 * once their bytes have arrived. The first error is reported once, as a {@link
 * CorruptedFrameException}; all later input is dropped. The exception messages are sent to clients,
 * so they contain numbers but no text from the input.
 */
public final class RespDecoder extends ByteToMessageDecoder {
    private static final int NO_BULK = -1;
    private static final int MAX_DIGITS = 10;

    private final RespLimits limits;
    private List<Resp> items;
    private int remainingItems;

    /** Total length of the bulk strings of the current array in bytes. */
    private int arrayBytes;

    /** Length of the current bulk string in bytes; {@link #NO_BULK} if there is none. */
    private int bulkLength = NO_BULK;

    private boolean failed;

    /** Creates a decoder that fails on any value over these limits. */
    public RespDecoder(RespLimits limits) {
        this.limits = limits;
    }

    /** Returns whether a value has been received in part. */
    public boolean hasPartialValue() {
        return items != null || bulkLength != NO_BULK || actualReadableBytes() > 0;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (failed) {
            in.skipBytes(in.readableBytes());
            return;
        }
        try {
            Resp value = bulkLength != NO_BULK ? decodeBulk(in) : decodeHeader(in);
            if (value != null) {
                emit(value, out);
            }
        } catch (CorruptedFrameException failure) {
            failed = true;
            in.skipBytes(in.readableBytes());
            throw failure;
        }
    }

    private void emit(Resp value, List<Object> out) {
        if (items == null) {
            out.add(value);
            return;
        }
        items.add(value);
        if (--remainingItems == 0) {
            out.add(new Resp.Array(items));
            items = null;
        }
    }

    private Resp decodeBulk(ByteBuf in) {
        if (in.readableBytes() < bulkLength + 2) {
            return null;
        }
        byte[] bytes = new byte[bulkLength];
        in.readBytes(bytes);
        if (in.readByte() != '\r' || in.readByte() != '\n') {
            throw new CorruptedFrameException(
                    "expected CR LF after a bulk string of " + bulkLength + " bytes");
        }
        bulkLength = NO_BULK;
        return new Resp.Bulk(bytes);
    }

    /**
     * Decodes a header line, and its value if that has arrived; returns null if more input is
     * needed.
     */
    private Resp decodeHeader(ByteBuf in) {
        if (!in.isReadable()) {
            return null;
        }
        char kind = (char) in.getUnsignedByte(in.readerIndex());
        if (limits.commandsOnly()
                ? kind != (items == null ? '*' : '$')
                : "+-:$*".indexOf(kind) < 0) {
            throw new CorruptedFrameException(
                    "value starts with byte "
                            + (int) kind
                            + ", expected "
                            + (limits.commandsOnly()
                                    ? (items == null ? "*" : "$")
                                    : "one of +-:$*"));
        }
        String text = readLine(in);
        if (text == null) {
            return null;
        }
        return switch (kind) {
            case '$' -> {
                bulkLength = parseLength(text, limits.maxBulkBytes());
                arrayBytes += Math.max(0, bulkLength);
                if (arrayBytes > limits.maxArrayBytes()) {
                    throw new CorruptedFrameException(
                            "array items total "
                                    + arrayBytes
                                    + " bytes so far, expected at most "
                                    + limits.maxArrayBytes());
                }
                yield bulkLength == NO_BULK ? new Resp.Bulk(null) : decodeBulk(in);
            }
            case '*' -> beginArray(parseLength(text, limits.maxItems()));
            case ':' -> {
                parseNumber(text);
                yield new Resp.Line(kind, text);
            }
            default -> new Resp.Line(kind, text);
        };
    }

    private Resp beginArray(int count) {
        if (items != null) {
            throw new CorruptedFrameException(
                    "nested array, expected only lines and bulk strings as array items");
        }
        if (count <= 0) {
            if (limits.commandsOnly()) {
                throw new CorruptedFrameException(
                        "array of " + count + " items, expected at least the command name");
            }
            return new Resp.Array(count < 0 ? null : List.of());
        }
        items = new ArrayList<>(count);
        remainingItems = count;
        arrayBytes = 0;
        return null;
    }

    /** Reads a line without its first byte and CR LF; returns null if the line is incomplete. */
    private String readLine(ByteBuf in) {
        int end =
                in.indexOf(
                        in.readerIndex(),
                        in.readerIndex() + Math.min(in.readableBytes(), limits.maxLineBytes() + 3),
                        (byte) '\n');
        if (end < 0) {
            if (in.readableBytes() > limits.maxLineBytes() + 2) {
                throw new CorruptedFrameException(
                        "line is longer than the limit of " + limits.maxLineBytes() + " bytes");
            }
            return null;
        }
        int length = end - in.readerIndex() - 2;
        if (length < 0 || in.getByte(end - 1) != '\r') {
            throw new CorruptedFrameException("line ends in LF without CR, expected CR LF");
        }
        String text = in.toString(in.readerIndex() + 1, length, StandardCharsets.ISO_8859_1);
        if (text.indexOf('\r') >= 0) {
            throw new CorruptedFrameException("CR inside a line, expected only at its end");
        }
        in.readerIndex(end + 1);
        return text;
    }

    private int parseLength(String text, int max) {
        long value = parseNumber(text);
        if (value > max || (value < 0 && (limits.commandsOnly() || value != NO_BULK))) {
            throw new CorruptedFrameException(
                    "length is "
                            + value
                            + ", expected at "
                            + (value > max
                                    ? "most " + max
                                    : "least " + (limits.commandsOnly() ? 0 : NO_BULK)));
        }
        if (items == null) {
            arrayBytes = 0;
        }
        return (int) value;
    }

    private static long parseNumber(String text) {
        int start = text.startsWith("-") ? 1 : 0;
        boolean valid = text.length() > start && text.length() <= MAX_DIGITS + start;
        for (int i = start; valid && i < text.length(); i++) {
            valid = text.charAt(i) >= '0' && text.charAt(i) <= '9';
        }
        if (!valid) {
            throw new CorruptedFrameException(
                    "invalid number, expected 1 to "
                            + MAX_DIGITS
                            + " digits after an optional minus sign");
        }
        return Long.parseLong(text);
    }
}
