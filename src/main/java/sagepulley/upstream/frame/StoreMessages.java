package sagepulley.upstream.frame;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import sagepulley.codec.frame.Frame;
import sagepulley.codec.frame.FrameFields;
import sagepulley.codec.frame.MalformedMessageException;

/** The messages between a gateway and a node, as frames (docs/protocols.md, Store protocol). */
public final class StoreMessages {
    /** From the gateway. */
    public static final int HELLO = 1;

    public static final int SEND = 2;
    public static final int CALL_OFF = 3;
    public static final int PROBE = 4;
    public static final int TAKE_PEN = 5;

    /** From the node. */
    public static final int WELCOME = 17;

    public static final int ANSWER = 18;
    public static final int PROBED = 19;
    public static final int PEN = 20;
    public static final int PEN_LOST = 21;

    /** From a node: it drains, and takes nothing new. */
    public static final int DRAINS = 22;

    public static final int VERSION = 1;
    private static final int SEND_HEAD = 55;
    private static final int MOST_REPORT = 4;

    /** Who calls: the number differs at every start of a gateway. */
    public record Hello(long gateway, String name) {}

    /** Who answers; the start is wall-clock milliseconds. */
    public record Welcome(
            int node, int cell, int zone, int kind, boolean draining, long startedAt) {}

    /** What an operation does at its extent. */
    public enum Kind {
        READ,
        WRITE,
        ZERO,
        TRIM,
        FLUSH;

        public boolean changes() {
            return this == WRITE || this == ZERO || this == TRIM;
        }
    }

    /**
     * One attempt. The mark names the operation, unique with the gateway's number; offset and
     * length are bytes in the extent. Since is 0, or for a flush the node's start that it must
     * still have. Where the extent must be there already, a node that has none of it answers that
     * it is moot.
     */
    public record Send(
            Kind kind,
            int band,
            boolean durable,
            int repeat,
            long mark,
            int number,
            int volume,
            long extent,
            int offset,
            int length,
            float units,
            long since,
            boolean mustBeThere) {
        public Send(
                Kind kind,
                int band,
                boolean durable,
                int repeat,
                long mark,
                int number,
                int volume,
                long extent,
                int offset,
                int length,
                float units,
                long since) {
            this(
                    kind, band, durable, repeat, mark, number, volume, extent, offset, length,
                    units, since, false);
        }
    }

    /** How a node answers. */
    public enum Code {
        SATISFIED,
        FAULT,
        FULL,
        DRAINING,
        MOOT,
        STALE_PEN,
        CALLED_OFF
    }

    /**
     * An attempt's end at the node, as WIRE has its figures: used percent is 0 for none, else 1
     * more. Waited and worked are the milliseconds that it stood in the node's queue and was worked
     * on.
     */
    public record Answer(
            Code code, int used, float others, float waited, float worked, float[] report) {
        public static final float[] NO_REPORT = {};
    }

    private StoreMessages() {}

    public static Frame hello(Hello hello) {
        ByteBuf head = Unpooled.buffer(64).writeShort(VERSION).writeLong(hello.gateway());
        return new Frame(HELLO, 0, FrameFields.string(head, hello.name()));
    }

    public static Hello hello(Frame frame) throws MalformedMessageException {
        ByteBuf head = FrameFields.need(frame, 11);
        int version = head.readUnsignedShort();
        if (version != VERSION) {
            throw new MalformedMessageException(
                    "store protocol of version " + version + ", known is " + VERSION);
        }
        return new Hello(head.readLong(), FrameFields.string(head));
    }

    public static Frame welcome(Welcome it) {
        return new Frame(
                WELCOME,
                0,
                Unpooled.buffer(32)
                        .writeInt(it.node())
                        .writeInt(it.cell())
                        .writeShort(it.zone())
                        .writeShort(it.kind())
                        .writeBoolean(it.draining())
                        .writeLong(it.startedAt()));
    }

    public static Welcome welcome(Frame frame) throws MalformedMessageException {
        ByteBuf head = FrameFields.need(frame, 21);
        return new Welcome(
                head.readInt(),
                head.readInt(),
                head.readUnsignedShort(),
                head.readUnsignedShort(),
                head.readBoolean(),
                head.readLong());
    }

    public static Frame send(long attempt, Send it, ByteBuf payload) {
        ByteBuf head =
                Unpooled.buffer(SEND_HEAD)
                        .writeByte(it.kind().ordinal())
                        .writeByte(it.band())
                        .writeByte((it.durable() ? 1 : 0) | (it.mustBeThere() ? 2 : 0))
                        .writeByte(it.repeat())
                        .writeLong(it.mark())
                        .writeByte(it.number())
                        .writeInt(it.volume())
                        .writeLong(it.extent())
                        .writeInt(it.offset())
                        .writeInt(it.length())
                        .writeFloat(it.units())
                        .writeLong(it.since());
        return new Frame(SEND, attempt, head, payload);
    }

    public static Send send(Frame frame) throws MalformedMessageException {
        ByteBuf head = FrameFields.need(frame, 45);
        int kind = head.readUnsignedByte();
        if (kind >= Kind.values().length) {
            throw new MalformedMessageException("operation of kind " + kind);
        }
        int band = head.readUnsignedByte();
        int flags = head.readUnsignedByte();
        if (flags > 3) {
            throw new MalformedMessageException("operation with unknown flags " + flags);
        }
        Send send =
                new Send(
                        Kind.values()[kind],
                        band,
                        (flags & 1) != 0,
                        head.readUnsignedByte(),
                        head.readLong(),
                        head.readUnsignedByte(),
                        head.readInt(),
                        head.readLong(),
                        head.readInt(),
                        head.readInt(),
                        head.readFloat(),
                        head.readLong(),
                        (flags & 2) != 0);
        int carried = frame.payload().readableBytes();
        if (send.offset() < 0
                || send.length() < 0
                || send.offset() + send.length() < 0
                || carried != (send.kind() == Kind.WRITE ? send.length() : 0)
                || !(send.units() >= 0 && send.units() < 1e9)) {
            throw new MalformedMessageException("operation with figures that do not fit: " + send);
        }
        return send;
    }

    public static Frame answer(long attempt, Answer it, ByteBuf payload) {
        ByteBuf head =
                Unpooled.buffer(32)
                        .writeByte(it.code().ordinal())
                        .writeShort(it.used())
                        .writeFloat(it.others())
                        .writeFloat(it.waited())
                        .writeFloat(it.worked())
                        .writeByte(it.report().length);
        for (float value : it.report()) {
            head.writeFloat(value);
        }
        return new Frame(ANSWER, attempt, head, payload);
    }

    public static Answer answer(Frame frame) throws MalformedMessageException {
        ByteBuf head = FrameFields.need(frame, 16);
        int code = head.readUnsignedByte();
        int used = head.readUnsignedShort();
        float others = head.readFloat();
        float waited = head.readFloat();
        float worked = head.readFloat();
        if (code >= Code.values().length
                || !(others >= 0 && others < 1e9)
                || !(waited >= 0 && worked >= 0)) {
            throw new MalformedMessageException(
                    "answer with code " + code + " and " + others + " units of others");
        }
        return new Answer(Code.values()[code], used, others, waited, worked, report(head));
    }

    public static Frame probed(long id, float[] report) {
        ByteBuf head = Unpooled.buffer(20).writeByte(report.length);
        for (float value : report) {
            head.writeFloat(value);
        }
        return new Frame(PROBED, id, head);
    }

    /** A message about an extent's pen: taking it, having it, or having lost it. */
    public static Frame pen(int type, long id, int volume, long extent) {
        return new Frame(type, id, Unpooled.buffer(12).writeInt(volume).writeLong(extent));
    }

    /** A report of up to four values, as answers and probes carry it. */
    public static float[] report(ByteBuf head) throws MalformedMessageException {
        int count = head.isReadable() ? head.readUnsignedByte() : -1;
        if (count < 0 || count > MOST_REPORT || head.readableBytes() < 4 * count) {
            throw new MalformedMessageException("a load report of " + count + " values");
        }
        float[] report = count == 0 ? Answer.NO_REPORT : new float[count];
        for (int i = 0; i < count; i++) {
            report[i] = head.readFloat();
        }
        return report;
    }
}
