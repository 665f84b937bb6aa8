package sagepulley.upstream.frame;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import sagepulley.codec.frame.Frame;
import sagepulley.codec.frame.FrameFields;
import sagepulley.codec.frame.MalformedMessageException;

/**
 * Encodes and decodes the messages between a gateway and a node (docs/protocols.md, Store
 * protocol). Decoding methods do not release the frame and throw if it is malformed.
 */
public final class StoreMessages {
    /** From the gateway: its identity (HELLO). */
    public static final int HELLO = 1;

    /** From the gateway: an attempt, with the data of a write (SEND). */
    public static final int SEND = 2;

    /** From the gateway: cancels an attempt (CALL_OFF). */
    public static final int CANCEL = 3;

    /** From the gateway: requests a load report (PROBE). */
    public static final int HEALTH_CHECK = 4;

    /** From the gateway: requests the write token of an extent (TAKE_PEN). */
    public static final int ACQUIRE_WRITE_TOKEN = 5;

    /** From the node: its identity (WELCOME). */
    public static final int HANDSHAKE_REPLY = 17;

    /** From the node: the end of an attempt, with the data of a read (ANSWER). */
    public static final int ANSWER = 18;

    /** From the node: the load report for a health check (PROBED). */
    public static final int HEALTH_REPORT = 19;

    /** From the node: the requested write token is granted (PEN). */
    public static final int WRITE_TOKEN_GRANTED = 20;

    /** From the node: a write token was given to another gateway (PEN_LOST). */
    public static final int WRITE_TOKEN_REVOKED = 21;

    /** From the node: it shuts down gracefully and accepts no new attempts (DRAINS). */
    public static final int DRAINING = 22;

    /** The supported version of the protocol. */
    public static final int VERSION = 1;

    private static final int SEND_HEAD_CAPACITY_BYTES = 55;
    private static final int MAX_REPORT_VALUES = 4;

    /** The identity of a gateway; its number differs at every start. */
    public record Hello(long gateway, String name) {}

    /**
     * The identity of a node.
     *
     * @param kind the hardware kind of the node
     * @param startedAt the start time of its incarnation in wall-clock milliseconds; 0 for long ago
     */
    public record HandshakeReply(
            int node, int cell, int zone, int kind, boolean draining, long startedAt) {}

    /** The kinds of operations on an extent, in the order of their numbers on the wire. */
    public enum Kind {
        READ,
        WRITE,
        ZERO,
        TRIM,
        FLUSH;

        /** Returns whether the operation requires the write token of its extent. */
        public boolean modifiesData() {
            return this == WRITE || this == ZERO || this == TRIM;
        }
    }

    /**
     * An attempt of an operation.
     *
     * @param trafficClass the index of the traffic class (band on the wire)
     * @param durable whether it is answered only when its effect is durable
     * @param idempotency the idempotency of the operation (repeats on the wire)
     * @param operationId the operation's id, unique together with the gateway's number (mark on the
     *     wire)
     * @param attemptNumber the number of the attempt within the operation (hop on the wire)
     * @param offset the offset in the extent in bytes
     * @param length the length in bytes
     * @param units the cost of the operation in units of the tenant's plan
     * @param expectedNodeStart for a flush, the start time that the node must still have; 0
     *     otherwise
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
        /** Creates an attempt that a node without the extent may execute. */
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

    /** The result codes of an answer, in the order of their numbers on the wire. */
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
     * The answer of a node to an attempt.
     *
     * @param planUsage the percentage of the tenant's plan in use, plus 1; 0 if unknown
     * @param otherGatewaysUnits the units that the tenant used at the node through other gateways
     * @param queuedMillis the time that the attempt waited in the node's queue
     * @param serviceMillis the time that the node worked on the attempt
     * @param loadReport up to four values, the first of which is the node's queue length; may be
     *     empty
     */
    public record Answer(
            Code code,
            int planUsage,
            float otherGatewaysUnits,
            float queuedMillis,
            float serviceMillis,
            float[] loadReport) {
        /** An empty load report. */
        public static final float[] NO_REPORT = {};
    }

    private StoreMessages() {}

    /** Encodes a gateway's identity. */
    public static Frame hello(Hello hello) {
        ByteBuf head = Unpooled.buffer(64).writeShort(VERSION).writeLong(hello.gateway());
        return new Frame(HELLO, 0, FrameFields.string(head, hello.name()));
    }

    /** Decodes a gateway's identity; throws if its protocol version is not supported. */
    public static Hello hello(Frame frame) throws MalformedMessageException {
        ByteBuf head = FrameFields.requireHead(frame, 11);
        int version = head.readUnsignedShort();
        if (version != VERSION) {
            throw new MalformedMessageException(
                    "unsupported store protocol version " + version + ", expected " + VERSION);
        }
        return new Hello(head.readLong(), FrameFields.string(head));
    }

    /** Encodes a node's identity. */
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

    /** Decodes a node's identity. */
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

    /** Encodes an attempt and takes ownership of the payload. */
    public static Frame send(long attempt, Send send, ByteBuf payload) {
        ByteBuf head =
                Unpooled.buffer(SEND_HEAD_CAPACITY_BYTES)
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

    /** Decodes an attempt; its payload remains in the frame. */
    public static Send send(Frame frame) throws MalformedMessageException {
        ByteBuf head = FrameFields.requireHead(frame, 45);
        int kind = head.readUnsignedByte();
        if (kind >= Kind.values().length) {
            throw new MalformedMessageException("unknown operation kind " + kind);
        }
        int trafficClass = head.readUnsignedByte();
        int flags = head.readUnsignedByte();
        if (flags > 3) {
            throw new MalformedMessageException("unknown operation flags " + flags);
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
            throw new MalformedMessageException("invalid operation: " + send);
        }
        return send;
    }

    /** Encodes the answer to an attempt and takes ownership of the payload. */
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

    /** Decodes the answer to an attempt; its payload remains in the frame. */
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
                    "invalid answer with code "
                            + code
                            + " and "
                            + otherGateways
                            + " units of other gateways");
        }
        return new Answer(
                Code.values()[code], usage, otherGateways, queued, service, loadReport(head));
    }

    /** Encodes the answer to a health check. */
    public static Frame healthReport(long id, float[] report) {
        ByteBuf head = Unpooled.buffer(20).writeByte(report.length);
        for (float value : report) {
            head.writeFloat(value);
        }
        return new Frame(HEALTH_REPORT, id, head);
    }

    /** Encodes a message of one of the three types that concern a write token. */
    public static Frame writeToken(int type, long id, int volume, long extent) {
        return new Frame(type, id, Unpooled.buffer(12).writeInt(volume).writeLong(extent));
    }

    /** Decodes the load report of an answer or a health report. */
    public static float[] loadReport(ByteBuf head) throws MalformedMessageException {
        int count = head.isReadable() ? head.readUnsignedByte() : -1;
        if (count < 0 || count > MAX_REPORT_VALUES || head.readableBytes() < 4 * count) {
            throw new MalformedMessageException("invalid load report of " + count + " values");
        }
        float[] report = count == 0 ? Answer.NO_REPORT : new float[count];
        for (int i = 0; i < count; i++) {
            report[i] = head.readFloat();
        }
        return report;
    }
}
