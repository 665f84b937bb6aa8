package sagepulley.upstream.frame;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import sagepulley.codec.frame.Frame;
import sagepulley.codec.frame.FrameFields;
import sagepulley.codec.frame.MalformedMessageException;

/**
 * The messages between a gateway and a node, as frames (docs/protocols.md, Store protocol). What
 * reads a frame leaves it to its owner, and throws on one that is malformed.
 */
public final class StoreMessages {
    /** From the gateway: who calls (HELLO). */
    public static final int HELLO = 1;

    /** From the gateway: an attempt, with the data of a write (SEND). */
    public static final int SEND = 2;

    /** From the gateway: the answer to an attempt is not wanted any more (CALL_OFF). */
    public static final int CANCEL = 3;

    /** From the gateway: asks for a load report (PROBE). */
    public static final int HEALTH_CHECK = 4;

    /** From the gateway: asks for an extent's write token (TAKE_PEN). */
    public static final int ACQUIRE_WRITE_TOKEN = 5;

    /** From the node: who answers (WELCOME). */
    public static final int HANDSHAKE_REPLY = 17;

    /** From the node: the end of an attempt, with the data of a read (ANSWER). */
    public static final int ANSWER = 18;

    /** From the node: answers a health check (PROBED). */
    public static final int HEALTH_REPORT = 19;

    /** From the node: the gateway holds the write token (PEN). */
    public static final int WRITE_TOKEN_GRANTED = 20;

    /** From the node: another gateway took the write token (PEN_LOST). */
    public static final int WRITE_TOKEN_REVOKED = 21;

    /** From the node: it shuts down gracefully, and takes nothing new (DRAINS). */
    public static final int DRAINING = 22;

    /** The version of the protocol. */
    public static final int VERSION = 1;

    private static final int SEND_HEAD_BYTES = 55;
    private static final int MAX_REPORT_VALUES = 4;

    /** Who calls: the number differs at every start of a gateway. */
    public record Hello(long gateway, String name) {}

    /**
     * Who answers.
     *
     * @param kind the node's hardware kind
     * @param startedAt when its incarnation started, in wall-clock milliseconds; 0 for long ago
     */
    public record HandshakeReply(
            int node, int cell, int zone, int kind, boolean draining, long startedAt) {}

    /** What an operation does at its extent. The order is that of the numbers on the wire. */
    public enum Kind {
        READ,
        WRITE,
        ZERO,
        TRIM,
        FLUSH;

        /** Whether it needs the write token of its extent. */
        public boolean modifiesData() {
            return this == WRITE || this == ZERO || this == TRIM;
        }
    }

    /**
     * One attempt.
     *
     * @param trafficClass index of the traffic class (band on the wire)
     * @param durable whether it is answered only once its effect is durable
     * @param idempotency how far the operation may be repeated (repeats on the wire)
     * @param operationId unique with the gateway's number (mark on the wire)
     * @param attemptNumber counts the operation's attempts (hop on the wire)
     * @param offset bytes in the extent
     * @param length bytes
     * @param units what the operation costs, in units of the tenant's plan
     * @param expectedNodeStart for a flush, the start that the node must still have; else 0
     * @param extentMustExist whether a node without the extent answers {@link Code#NOT_EXECUTED}
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
        /** An attempt that a node without the extent may run. */
        public Send(
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
                long expectedNodeStart) {
            this(
                    kind,
                    trafficClass,
                    durable,
                    idempotency,
                    operationId,
                    attemptNumber,
                    volume,
                    extent,
                    offset,
                    length,
                    units,
                    expectedNodeStart,
                    false);
        }
    }

    /** How a node answers. The order is that of the numbers on the wire. */
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
     * The end of an attempt at its node.
     *
     * @param planUsage percent of the tenant's plan in use, plus 1; 0 for no figure
     * @param otherGatewaysUnits units that the tenant spent there through other gateways
     * @param queuedMillis how long the attempt waited in the node's queue
     * @param serviceMillis how long the node worked on it
     * @param loadReport up to four values
     */
    public record Answer(
            Code code,
            int planUsage,
            float otherGatewaysUnits,
            float queuedMillis,
            float serviceMillis,
            float[] loadReport) {
        /** A load report without values. */
        public static final float[] NO_REPORT = {};
    }

    private StoreMessages() {}

    /** Writes who calls. */
    public static Frame hello(Hello hello) {
        ByteBuf head = Unpooled.buffer(64).writeShort(VERSION).writeLong(hello.gateway());
        return new Frame(HELLO, 0, FrameFields.string(head, hello.name()));
    }

    /** Reads who calls; throws on another version of the protocol. */
    public static Hello hello(Frame frame) throws MalformedMessageException {
        ByteBuf head = FrameFields.requireHead(frame, 11);
        int version = head.readUnsignedShort();
        if (version != VERSION) {
            throw new MalformedMessageException(
                    "store protocol of version " + version + ", known is " + VERSION);
        }
        return new Hello(head.readLong(), FrameFields.string(head));
    }

    /** Writes who answers. */
    public static Frame handshakeReply(HandshakeReply reply) {
        return new Frame(
                HANDSHAKE_REPLY,
                0,
                Unpooled.buffer(32)
                        .writeInt(reply.node())
                        .writeInt(reply.cell())
                        .writeShort(reply.zone())
                        .writeShort(reply.kind())
                        .writeBoolean(reply.draining())
                        .writeLong(reply.startedAt()));
    }

    /** Reads who answers. */
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

    /** Writes an attempt; the payload changes hands. */
    public static Frame send(long attempt, Send send, ByteBuf payload) {
        ByteBuf head =
                Unpooled.buffer(SEND_HEAD_BYTES)
                        .writeByte(send.kind().ordinal())
                        .writeByte(send.trafficClass())
                        .writeByte((send.durable() ? 1 : 0) | (send.extentMustExist() ? 2 : 0))
                        .writeByte(send.idempotency())
                        .writeLong(send.operationId())
                        .writeByte(send.attemptNumber())
                        .writeInt(send.volume())
                        .writeLong(send.extent())
                        .writeInt(send.offset())
                        .writeInt(send.length())
                        .writeFloat(send.units())
                        .writeLong(send.expectedNodeStart());
        return new Frame(SEND, attempt, head, payload);
    }

    /** Reads an attempt; its payload stays in the frame. */
    public static Send send(Frame frame) throws MalformedMessageException {
        ByteBuf head = FrameFields.requireHead(frame, 45);
        int kind = head.readUnsignedByte();
        if (kind >= Kind.values().length) {
            throw new MalformedMessageException("operation of kind " + kind);
        }
        int trafficClass = head.readUnsignedByte();
        int flags = head.readUnsignedByte();
        if (flags > 3) {
            throw new MalformedMessageException("operation with unknown flags " + flags);
        }
        Send send =
                new Send(
                        Kind.values()[kind],
                        trafficClass,
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
        int payloadBytes = frame.payload().readableBytes();
        if (send.offset() < 0
                || send.length() < 0
                || send.offset() + send.length() < 0
                || payloadBytes != (send.kind() == Kind.WRITE ? send.length() : 0)
                || !(send.units() >= 0 && send.units() < 1e9)) {
            throw new MalformedMessageException("operation with figures that do not fit: " + send);
        }
        return send;
    }

    /** Writes the end of an attempt; the payload changes hands. */
    public static Frame answer(long attempt, Answer answer, ByteBuf payload) {
        ByteBuf head =
                Unpooled.buffer(32)
                        .writeByte(answer.code().ordinal())
                        .writeShort(answer.planUsage())
                        .writeFloat(answer.otherGatewaysUnits())
                        .writeFloat(answer.queuedMillis())
                        .writeFloat(answer.serviceMillis())
                        .writeByte(answer.loadReport().length);
        for (float value : answer.loadReport()) {
            head.writeFloat(value);
        }
        return new Frame(ANSWER, attempt, head, payload);
    }

    /** Reads the end of an attempt; its payload stays in the frame. */
    public static Answer answer(Frame frame) throws MalformedMessageException {
        ByteBuf head = FrameFields.requireHead(frame, 16);
        int code = head.readUnsignedByte();
        int usage = head.readUnsignedShort();
        float otherGateways = head.readFloat();
        float queued = head.readFloat();
        float service = head.readFloat();
        if (code >= Code.values().length
                || !(otherGateways >= 0 && otherGateways < 1e9)
                || !(queued >= 0 && service >= 0)) {
            throw new MalformedMessageException(
                    "answer with code " + code + " and " + otherGateways + " units of others");
        }
        return new Answer(
                Code.values()[code], usage, otherGateways, queued, service, loadReport(head));
    }

    /** Writes the answer to a health check. */
    public static Frame healthReport(long id, float[] report) {
        ByteBuf head = Unpooled.buffer(20).writeByte(report.length);
        for (float value : report) {
            head.writeFloat(value);
        }
        return new Frame(HEALTH_REPORT, id, head);
    }

    /** Writes a message about an extent's write token: of one of the three types above. */
    public static Frame writeToken(int type, long id, int volume, long extent) {
        return new Frame(type, id, Unpooled.buffer(12).writeInt(volume).writeLong(extent));
    }

    /** Reads a load report of up to four values, as answers and health reports carry it. */
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
