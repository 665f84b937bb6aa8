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
    public static final int CANCEL = 3;
    public static final int HEALTH_CHECK = 4;
    public static final int ACQUIRE_WRITE_TOKEN = 5;

    /** From the node. */
    public static final int HANDSHAKE_REPLY = 17;

    public static final int ANSWER = 18;
    public static final int HEALTH_REPORT = 19;
    public static final int WRITE_TOKEN_GRANTED = 20;
    public static final int WRITE_TOKEN_REVOKED = 21;

    /** From a node: it drains, and takes nothing new. */
    public static final int DRAINING = 22;

    public static final int VERSION = 1;
    private static final int SEND_HEAD_BYTES = 55;
    private static final int MAX_REPORT_VALUES = 4;

    /** Who calls: the number differs at every start of a gateway. */
    public record Hello(long gateway, String name) {}

    /** Who answers; the start is wall-clock milliseconds. */
    public record HandshakeReply(
            int node, int cell, int zone, int kind, boolean draining, long startedAt) {}

    /** What an operation does at its extent. */
    public enum Kind {
        READ,
        WRITE,
        ZERO,
        TRIM,
        FLUSH;

        public boolean modifiesData() {
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
            int trafficClass,
            boolean durable,
            int idempotency,
            long operationId,
            int attemptNumber,
            int volume,
            long extent,
            int offset,
            int length,
            float units,
            long expectedNodeStart,
            boolean extentMustExist) {
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
        SERVED,
        FAILED,
        FULL,
        DRAINING,
        NOT_EXECUTED,
        STALE_WRITE_TOKEN,
        CANCELLED
    }

    /**
     * An attempt's end at the node, as WIRE has its figures: used percent is 0 for none, else 1
     * more. Waited and worked are the milliseconds that it stood in the node's queue and was worked
     * on.
     */
    public record Answer(
            Code code,
            int planUsage,
            float otherGatewaysUnits,
            float queuedMillis,
            float serviceMillis,
            float[] loadReport) {
        public static final float[] NO_REPORT = {};
    }

    private StoreMessages() {}

    public static Frame hello(Hello hello) {
        ByteBuf head = Unpooled.buffer(64).writeShort(VERSION).writeLong(hello.gateway());
        return new Frame(HELLO, 0, FrameFields.string(head, hello.name()));
    }

    public static Hello hello(Frame frame) throws MalformedMessageException {
        ByteBuf head = FrameFields.requireHead(frame, 11);
        int version = head.readUnsignedShort();
        if (version != VERSION) {
            throw new MalformedMessageException(
                    "store protocol of version " + version + ", known is " + VERSION);
        }
        return new Hello(head.readLong(), FrameFields.string(head));
    }

    public static Frame handshakeReply(HandshakeReply it) {
        return new Frame(
                HANDSHAKE_REPLY,
                0,
                Unpooled.buffer(32)
                        .writeInt(it.node())
                        .writeInt(it.cell())
                        .writeShort(it.zone())
                        .writeShort(it.kind())
                        .writeBoolean(it.draining())
                        .writeLong(it.startedAt()));
    }

    public static HandshakeReply handshakeReply(Frame frame) throws MalformedMessageException {
        ByteBuf head = FrameFields.requireHead(frame, 21);
        return new HandshakeReply(
                head.readInt(),
                head.readInt(),
                head.readUnsignedShort(),
                head.readUnsignedShort(),
                head.readBoolean(),
                head.readLong());
    }

    public static Frame send(long attempt, Send it, ByteBuf payload) {
        ByteBuf head =
                Unpooled.buffer(SEND_HEAD_BYTES)
                        .writeByte(it.kind().ordinal())
                        .writeByte(it.trafficClass())
                        .writeByte((it.durable() ? 1 : 0) | (it.extentMustExist() ? 2 : 0))
                        .writeByte(it.idempotency())
                        .writeLong(it.operationId())
                        .writeByte(it.attemptNumber())
                        .writeInt(it.volume())
                        .writeLong(it.extent())
                        .writeInt(it.offset())
                        .writeInt(it.length())
                        .writeFloat(it.units())
                        .writeLong(it.expectedNodeStart());
        return new Frame(SEND, attempt, head, payload);
    }

    public static Send send(Frame frame) throws MalformedMessageException {
        ByteBuf head = FrameFields.requireHead(frame, 45);
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
                        .writeShort(it.planUsage())
                        .writeFloat(it.otherGatewaysUnits())
                        .writeFloat(it.queuedMillis())
                        .writeFloat(it.serviceMillis())
                        .writeByte(it.loadReport().length);
        for (float value : it.loadReport()) {
            head.writeFloat(value);
        }
        return new Frame(ANSWER, attempt, head, payload);
    }

    public static Answer answer(Frame frame) throws MalformedMessageException {
        ByteBuf head = FrameFields.requireHead(frame, 16);
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
        return new Answer(Code.values()[code], used, others, waited, worked, loadReport(head));
    }

    public static Frame healthReport(long id, float[] report) {
        ByteBuf head = Unpooled.buffer(20).writeByte(report.length);
        for (float value : report) {
            head.writeFloat(value);
        }
        return new Frame(HEALTH_REPORT, id, head);
    }

    /** A message about an extent's pen: taking it, having it, or having lost it. */
    public static Frame writeToken(int type, long id, int volume, long extent) {
        return new Frame(type, id, Unpooled.buffer(12).writeInt(volume).writeLong(extent));
    }

    /** A report of up to four values, as answers and probes carry it. */
    public static float[] loadReport(ByteBuf head) throws MalformedMessageException {
        int count = head.isReadable() ? head.readUnsignedByte() : -1;
        if (count < 0 || count > MAX_REPORT_VALUES || head.readableBytes() < 4 * count) {
            throw new MalformedMessageException("a load report of " + count + " values");
        }
        float[] report = count == 0 ? Answer.NO_REPORT : new float[count];
        for (int i = 0; i < count; i++) {
            report[i] = head.readFloat();
        }
        return report;
    }
}
