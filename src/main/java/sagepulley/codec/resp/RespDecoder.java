package sagepulley.codec.resp;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads RESP2 strictly. A length is refused as soon as it is read, and room is only made for bytes
 * that have come. After the first wrong byte, which is told once as a {@link
 * CorruptedFrameException}, the rest is dropped unread.
 */
public final class RespDecoder extends ByteToMessageDecoder {
    private static final int NONE = -1;
    private static final int MOST_DIGITS = 10;

    private final RespLimits limits;
    private List<Resp> items;
    private int missing;
    private int held;

    /** The length of the bulk string under way. */
    private int bulk = NONE;

    private boolean broken;

    public RespDecoder(RespLimits limits) {
        this.limits = limits;
    }

    /** Whether some of a value has come, but not all of it. */
    public boolean inMiddle() {
        return items != null || bulk != NONE || actualReadableBytes() > 0;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (broken) {
            in.skipBytes(in.readableBytes());
            return;
        }
        try {
            Resp value = bulk != NONE ? bulkString(in) : headed(in);
            if (value != null) {
                add(value, out);
            }
        } catch (CorruptedFrameException bad) {
            broken = true;
            in.skipBytes(in.readableBytes());
            throw bad;
        }
    }

    private void add(Resp value, List<Object> out) {
        if (items == null) {
            out.add(value);
            return;
        }
        items.add(value);
        if (--missing == 0) {
            out.add(new Resp.Array(items));
            items = null;
        }
    }

    private Resp bulkString(ByteBuf in) {
        if (in.readableBytes() < bulk + 2) {
            return null;
        }
        byte[] bytes = new byte[bulk];
        in.readBytes(bytes);
        if (in.readByte() != '\r' || in.readByte() != '\n') {
            throw new CorruptedFrameException("a bulk string does not end where its length says");
        }
        bulk = NONE;
        return new Resp.Bulk(bytes);
    }

    /** Reads a line, and what it heads if that is there at once; null if more must come. */
    private Resp headed(ByteBuf in) {
        if (!in.isReadable()) {
            return null;
        }
        char kind = (char) in.getUnsignedByte(in.readerIndex());
        if (limits.commandsOnly()
                ? kind != (items == null ? '*' : '$')
                : "+-:$*".indexOf(kind) < 0) {
            throw new CorruptedFrameException("a value starts with byte " + (int) kind);
        }
        String text = line(in);
        if (text == null) {
            return null;
        }
        return switch (kind) {
            case '$' -> {
                bulk = length(text, limits.bulk());
                held += Math.max(0, bulk);
                if (held > limits.array()) {
                    throw new CorruptedFrameException(
                            "an array of over " + limits.array() + " bytes");
                }
                yield bulk == NONE ? new Resp.Bulk(null) : bulkString(in);
            }
            case '*' -> array(length(text, limits.items()));
            case ':' -> {
                number(text);
                yield new Resp.Line(kind, text);
            }
            default -> new Resp.Line(kind, text);
        };
    }

    private Resp array(int count) {
        if (items != null) {
            throw new CorruptedFrameException("an array inside an array");
        }
        if (count <= 0) {
            if (limits.commandsOnly()) {
                throw new CorruptedFrameException("a command of " + count + " words");
            }
            return new Resp.Array(count < 0 ? null : List.of());
        }
        items = new ArrayList<>(count);
        missing = count;
        held = 0;
        return null;
    }

    /** The line behind the first byte, without its end; null if the end has not come. */
    private String line(ByteBuf in) {
        int end =
                in.indexOf(
                        in.readerIndex(),
                        in.readerIndex() + Math.min(in.readableBytes(), limits.line() + 3),
                        (byte) '\n');
        if (end < 0) {
            if (in.readableBytes() > limits.line() + 2) {
                throw new CorruptedFrameException("a line of over " + limits.line() + " bytes");
            }
            return null;
        }
        int length = end - in.readerIndex() - 2;
        if (length < 0 || in.getByte(end - 1) != '\r') {
            throw new CorruptedFrameException("a line that does not end in CR LF");
        }
        String text = in.toString(in.readerIndex() + 1, length, StandardCharsets.ISO_8859_1);
        if (text.indexOf('\r') >= 0) {
            throw new CorruptedFrameException("a line with a CR inside");
        }
        in.readerIndex(end + 1);
        return text;
    }

    private int length(String text, int most) {
        long value = number(text);
        if (value > most || (value < 0 && (limits.commandsOnly() || value != NONE))) {
            throw new CorruptedFrameException("a length of " + text + ", at most " + most);
        }
        if (items == null) {
            held = 0;
        }
        return (int) value;
    }

    private static long number(String text) {
        int start = text.startsWith("-") ? 1 : 0;
        boolean plain = text.length() > start && text.length() <= MOST_DIGITS + start;
        for (int i = start; plain && i < text.length(); i++) {
            plain = text.charAt(i) >= '0' && text.charAt(i) <= '9';
        }
        if (!plain) {
            throw new CorruptedFrameException("a number that cannot be read");
        }
        return Long.parseLong(text);
    }
}
