package sagepulley.codec.resp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Decodes RESP2 strictly, and keeps no buffer of the channel: what is incomplete is copied to the
 * heap as it arrives, within an {@link InputBudget}.
 *
 * <p>A length over its limit is an error as soon as it is read, and memory for bulk strings is
 * taken as their bytes arrive. The first error is reported once, as a {@link
 * CorruptedFrameException}; all later input is dropped. The exception messages are sent to clients,
 * so they contain numbers but no text from the input.
 *
 * <p>While the budget does not let the next value be decoded, input that was already read waits for
 * {@link #decodeWaiting}, and so does what is read after it.
 */
public final class RespDecoder extends ChannelDuplexHandler {
    private static final int NO_BULK = -1;
    private static final int MAX_DIGITS = 10;
    private static final int MIN_BULK_CAPACITY_BYTES = 512;
    private static final byte[] LINE_END = {'\r', '\n'};

    private final RespLimits limits;
    private final InputBudget budget;

    /** The header line received in part, with its first byte and CR LF. */
    private final byte[] line;

    private int lineLength;
    private List<Resp> items;
    private int remainingItems;

    /** Total length of the bulk strings of the current array in bytes. */
    private int arrayBytes;

    /** Length of the current bulk string in bytes; {@link #NO_BULK} if there is none. */
    private int bulkLength = NO_BULK;

    private byte[] bulk = {};
    private int bulkReceived;
    private int lineEndReceived;

    /** Bytes reserved for the value received in part. */
    private int reservedBytes;

    /** Whether the bytes of the current value are dropped for lack of memory. */
    private boolean discarding;

    /** Memory of a buffer of waiting input without its bytes. */
    private static final int WAITING_BUFFER_BYTES = 128;

    /** Input that waits to be decoded. */
    private final ArrayDeque<ByteBuf> waiting = new ArrayDeque<>(2);

    /** Bytes reserved for the input that waits. */
    private int waitingBytes;

    /** Whether values of one input are being passed on. */
    private boolean decoding;

    private ChannelHandlerContext context;
    private boolean failed;

    /** Creates a decoder that fails on any value over these limits and keeps any valid input. */
    public RespDecoder(RespLimits limits) {
        this(limits, InputBudget.UNLIMITED);
    }

    /** Creates a decoder that fails on any value over these limits. */
    public RespDecoder(RespLimits limits, InputBudget budget) {
        this.limits = limits;
        this.budget = budget;
        this.line = new byte[limits.maxLineBytes() + 1 + LINE_END.length];
    }

    /** Returns whether a value has been received in part. */
    public boolean hasPartialValue() {
        return items != null || bulkLength != NO_BULK || lineLength > 0;
    }

    /** Returns whether input that was read is not decoded yet. */
    public boolean hasWaitingInput() {
        return !waiting.isEmpty() || decoding;
    }

    /** Returns whether values of one input are being passed on. */
    public boolean isDecoding() {
        return decoding;
    }

    /** Returns the bytes reserved for input that was read and waits. */
    public int waitingBytes() {
        return waitingBytes;
    }

    /** Returns whether the input was malformed or the decoder is closed. */
    public boolean hasFailed() {
        return failed;
    }

    /** Returns the bytes reserved for a value received in part. */
    public int partialBytes() {
        return reservedBytes;
    }

    /**
     * Drops the bytes of the value received in part, and those that are still to come. Once the
     * value is complete, {@link Resp.Discarded} is passed on in its place.
     */
    public void discardPartialValue() {
        if (!hasPartialValue()) {
            return;
        }
        discarding = true;
        if (items != null) {
            items.clear();
        }
        bulk = new byte[0];
        releaseReserved();
    }

    /** Releases all memory and drops later input. */
    public void close() {
        failed = true;
        items = null;
        lineLength = 0;
        bulkLength = NO_BULK;
        bulk = new byte[0];
        releaseReserved();
        releaseWaiting();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
        close();
    }

    // ---- input ----

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf in = (ByteBuf) message;
        int received = in.readableBytes();
        boolean isDrained = in.isWritable();
        try {
            if (waiting.isEmpty()) {
                decodeAll(ctx, in);
            }
            if (in.isReadable() && !failed) {
                keepWaiting(in);
            }
        } finally {
            in.release();
        }
        budget.decoded();
        budget.received(received, isDrained);
    }

    private void keepWaiting(ByteBuf in) {
        int bytes = in.readableBytes();
        ByteBuf kept = Unpooled.buffer(bytes).writeBytes(in);
        int reserved = kept.capacity() + WAITING_BUFFER_BYTES;
        budget.reserveWaiting(reserved);
        waitingBytes += reserved;
        waiting.add(kept);
    }

    private void releaseFirstWaiting() {
        ByteBuf first = waiting.poll();
        int reserved = first.capacity() + WAITING_BUFFER_BYTES;
        first.release();
        budget.releaseWaiting(reserved);
        waitingBytes -= reserved;
    }

    private void releaseWaiting() {
        while (!waiting.isEmpty()) {
            releaseFirstWaiting();
        }
    }

    /** Decodes the input that waits, as far as the budget allows. */
    public void decodeWaiting() {
        if (waiting.isEmpty() || decoding || context.isRemoved()) {
            return;
        }
        try {
            while (!waiting.isEmpty() && !failed) {
                ByteBuf first = waiting.peek();
                decodeAll(context, first);
                if (first.isReadable()) {
                    break;
                }
                if (!failed) {
                    releaseFirstWaiting();
                }
            }
        } catch (CorruptedFrameException failure) {
            context.fireExceptionCaught(failure);
        }
        budget.decoded();
        context.fireChannelReadComplete();
    }

    private void decodeAll(ChannelHandlerContext ctx, ByteBuf in) {
        decoding = true;
        try {
            while (in.isReadable() && !failed && (hasPartialValue() || budget.mayDecode())) {
                Resp value = bulkLength != NO_BULK ? decodeBulk(in) : decodeHeader(in);
                if (value != null) {
                    emit(ctx, value);
                }
            }
        } catch (CorruptedFrameException failure) {
            close();
            throw failure;
        } finally {
            decoding = false;
        }
    }

    private void emit(ChannelHandlerContext ctx, Resp value) {
        Resp complete = value;
        if (items != null) {
            if (!discarding) {
                items.add(value);
            }
            if (--remainingItems > 0) {
                return;
            }
            complete = new Resp.Array(items);
            items = null;
        }
        if (discarding) {
            complete = new Resp.Discarded();
            discarding = false;
        }
        releaseReserved();
        ctx.fireChannelRead(complete);
    }

    private void releaseReserved() {
        budget.release(reservedBytes);
        reservedBytes = 0;
    }

    // ---- bulk strings ----

    private void beginBulk(int length) {
        bulkLength = length;
        bulk = new byte[0];
        bulkReceived = 0;
        lineEndReceived = 0;
    }

    private Resp decodeBulk(ByteBuf in) {
        receiveBulk(in, Math.min(in.readableBytes(), bulkLength - bulkReceived));
        if (bulkReceived < bulkLength) {
            return null;
        }
        while (lineEndReceived < LINE_END.length && in.isReadable()) {
            if (in.readByte() != LINE_END[lineEndReceived++]) {
                throw new CorruptedFrameException(
                        "expected CR LF after a bulk string of " + bulkLength + " bytes");
            }
        }
        if (lineEndReceived < LINE_END.length) {
            return null;
        }
        bulkLength = NO_BULK;
        byte[] bytes = bulk;
        bulk = new byte[0];
        return new Resp.Bulk(bytes);
    }

    private void receiveBulk(ByteBuf in, int count) {
        if (!discarding) {
            growBulk(bulkReceived + count);
        }
        if (discarding) {
            in.skipBytes(count);
        } else {
            in.readBytes(bulk, bulkReceived, count);
        }
        bulkReceived += count;
    }

    /** Grows the bulk string's array to the capacity, or further; discards it if it may not. */
    private void growBulk(int capacity) {
        if (capacity <= bulk.length) {
            return;
        }
        int wanted = Math.max(capacity, Math.max(MIN_BULK_CAPACITY_BYTES, 2 * bulk.length));
        int newCapacity = Math.min(bulkLength, wanted);
        int added = newCapacity - bulk.length;
        if (!budget.reserve(added)) {
            discardPartialValue();
            return;
        }
        reservedBytes += added;
        bulk = Arrays.copyOf(bulk, newCapacity);
    }

    // ---- header lines ----

    /**
     * Decodes a header line, and its value if that has arrived; returns null if more input is
     * needed.
     */
    private Resp decodeHeader(ByteBuf in) {
        byte first = lineLength > 0 ? line[0] : in.getByte(in.readerIndex());
        char kind = (char) (first & 0xff);
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
                beginBulk(parseLength(text, limits.maxBulkBytes()));
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
        int available = Math.min(in.readableBytes(), line.length - lineLength);
        int end = in.indexOf(in.readerIndex(), in.readerIndex() + available, (byte) '\n');
        int count = end < 0 ? available : end + 1 - in.readerIndex();
        in.readBytes(line, lineLength, count);
        lineLength += count;
        if (end < 0) {
            if (lineLength == line.length) {
                throw new CorruptedFrameException(
                        "line is longer than the limit of " + limits.maxLineBytes() + " bytes");
            }
            return null;
        }
        int length = lineLength - 1 - LINE_END.length;
        if (length < 0 || line[lineLength - 2] != '\r') {
            throw new CorruptedFrameException("line ends in LF without CR, expected CR LF");
        }
        lineLength = 0;
        String text = new String(line, 1, length, StandardCharsets.ISO_8859_1);
        if (text.indexOf('\r') >= 0) {
            throw new CorruptedFrameException("CR inside a line, expected only at its end");
        }
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
