package sagepulley.codec.nbd;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import sagepulley.codec.frame.MalformedMessageException;
import sagepulley.codec.frame.SegmentDecoder;

/**
 * Decodes the messages of a client: flags, options, then requests. Halts reading from the socket
 * until the gate admits a request, before its payload is decoded. The receiver of a message owns
 * its data.
 */
final class NbdServerDecoder extends SegmentDecoder {
    /**
     * Counted for each request in addition to its data, so that the budget also limits the number
     * of requests.
     */
    static final int REQUEST_OVERHEAD_BYTES = 1024;

    private static final int OPTION_HEAD_BYTES = 16;
    private static final int REQUEST_HEAD_BYTES = 28;

    /** The maximum length of option data that is decoded; longer data is skipped and rejected. */
    private static final int MAX_OPTION_BYTES = 64 << 10;

    /** The maximum length of skipped option data; longer data ends the connection. */
    private static final int MAX_SKIPPED_OPTION_BYTES = 1 << 20;

    private enum Phase {
        FLAGS,
        OPTION,
        OPTION_DATA,
        SKIPPED_OPTION_DATA,
        REQUEST,
        PAYLOAD,
        SKIPPED_PAYLOAD
    }

    private final AdmissionGate gate;
    private Phase phase = Phase.FLAGS;
    private int maxBlockSize;
    private int optionCode;
    private long admittedBytes;
    private NbdRequest request;

    NbdServerDecoder(AdmissionGate gate) {
        this.gate = gate;
        expect(4);
    }

    /** Starts the transmission phase, with writes of up to {@code maxBlockSize} bytes. */
    void startTransmission(int maxBlockSize) {
        this.maxBlockSize = maxBlockSize;
        phase = Phase.REQUEST;
        expect(REQUEST_HEAD_BYTES);
    }

    /** Returns whether the handshake is incomplete or a message has been received only in part. */
    boolean isInsideMessage() {
        return phase != Phase.REQUEST || isInsideSegment();
    }

    @Override
    protected void segmentReceived(ChannelHandlerContext ctx, ByteBuf segment)
            throws MalformedMessageException {
        switch (phase) {
            case FLAGS -> {
                int flags = segment.readInt();
                segment.release();
                expectOption();
                ctx.fireChannelRead(flags);
            }
            case OPTION -> readOptionHead(segment);
            case OPTION_DATA -> {
                expectOption();
                ctx.fireChannelRead(new NbdOption(optionCode, segment));
            }
            case SKIPPED_OPTION_DATA -> {
                expectOption();
                ctx.fireChannelRead(new NbdOption(optionCode, null));
            }
            case REQUEST -> readRequestHead(ctx, segment);
            case PAYLOAD -> {
                expectRequest();
                NbdRequest complete =
                        new NbdRequest(
                                request.flags(),
                                request.command(),
                                request.cookie(),
                                request.offset(),
                                request.length(),
                                segment,
                                admittedBytes);
                admittedBytes = 0;
                ctx.fireChannelRead(complete);
            }
            case SKIPPED_PAYLOAD -> {
                expectRequest();
                ctx.fireChannelRead(request);
            }
        }
    }

    private void expectOption() {
        phase = Phase.OPTION;
        expect(OPTION_HEAD_BYTES);
    }

    private void expectRequest() {
        phase = Phase.REQUEST;
        expect(REQUEST_HEAD_BYTES);
    }

    private void readOptionHead(ByteBuf segment) throws MalformedMessageException {
        long magic = segment.readLong();
        optionCode = segment.readInt();
        long length = segment.readUnsignedInt();
        segment.release();
        if (magic != NbdConstants.IHAVEOPT) {
            throw new MalformedMessageException(
                    "unknown option magic 0x" + Long.toHexString(magic));
        }
        if (length > MAX_SKIPPED_OPTION_BYTES) {
            throw new MalformedMessageException(
                    "option of " + length + " bytes, expected at most " + MAX_SKIPPED_OPTION_BYTES);
        }
        if (length > MAX_OPTION_BYTES) {
            phase = Phase.SKIPPED_OPTION_DATA;
            skip(length);
        } else {
            phase = Phase.OPTION_DATA;
            expect((int) length);
        }
    }

    private void readRequestHead(ChannelHandlerContext ctx, ByteBuf segment)
            throws MalformedMessageException {
        int magic = segment.readInt();
        int flags = segment.readUnsignedShort();
        int command = segment.readUnsignedShort();
        long cookie = segment.readLong();
        long offset = segment.readLong();
        int length = segment.readInt();
        segment.release();
        if (magic != NbdConstants.REQUEST_MAGIC) {
            throw new MalformedMessageException(
                    "unknown request magic 0x" + Integer.toHexString(magic));
        }
        long bytes = Integer.toUnsignedLong(length);
        request = new NbdRequest(flags, command, cookie, offset, length, Unpooled.EMPTY_BUFFER, 0);
        if (command == NbdConstants.CMD_WRITE && bytes > maxBlockSize) {
            // The protocol allows to end the connection, or to read the payload and reply EINVAL.
            // The payload is read if it is at most four times the limit.
            if (bytes > 4L * maxBlockSize) {
                throw new MalformedMessageException(
                        "write of " + bytes + " bytes, expected at most " + maxBlockSize);
            }
            phase = Phase.SKIPPED_PAYLOAD;
            skip(bytes);
            return;
        }
        boolean carriesData =
                command == NbdConstants.CMD_WRITE
                        || (command == NbdConstants.CMD_READ && bytes <= maxBlockSize);
        phase = Phase.PAYLOAD;
        expect(command == NbdConstants.CMD_WRITE ? length : 0);
        admitRequest(ctx, (carriesData ? bytes : 0) + REQUEST_OVERHEAD_BYTES);
    }

    private void admitRequest(ChannelHandlerContext ctx, long bytes) {
        Runnable retry =
                () ->
                        ctx.channel()
                                .eventLoop()
                                .execute(
                                        () -> {
                                            if (ctx.isRemoved() || !ctx.channel().isActive()) {
                                                return;
                                            }
                                            admitRequest(ctx, bytes);
                                        });
        if (gate.admit(bytes, retry)) {
            admittedBytes = bytes;
            resume();
        } else {
            halt();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
        if (admittedBytes > 0) {
            gate.release(admittedBytes);
            admittedBytes = 0;
        }
        super.channelInactive(ctx);
    }
}
