package sagepulley.codec.nbd;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import sagepulley.codec.frame.MalformedMessageException;
import sagepulley.codec.frame.SegmentDecoder;

/**
 * What a client sends: its flags, options, then requests. Reads no payload before the gate admits
 * it, and stops reading from the socket until then.
 */
final class NbdServerDecoder extends SegmentDecoder {
    /** What a request weighs besides its bytes: it bounds how many may be in hand. */
    static final int REQUEST_WEIGHT = 1024;

    private static final int OPTION_HEAD = 16;
    private static final int REQUEST_HEAD = 28;

    /** Options longer than this are not kept; longer than the second, the connection ends. */
    private static final int LONGEST_OPTION = 64 << 10;

    private static final int LONGEST_SKIPPED_OPTION = 1 << 20;

    private enum Phase {
        FLAGS,
        OPTION,
        OPTION_DATA,
        TOO_BIG,
        REQUEST,
        PAYLOAD,
        UNWANTED
    }

    private final AdmissionGate gate;
    private Phase phase = Phase.FLAGS;
    private int mostBlock;
    private int option;
    private long admitted;
    private NbdRequest request;

    NbdServerDecoder(AdmissionGate gate) {
        this.gate = gate;
        expect(4);
    }

    /** The handshake is over: what comes next are requests, with writes of up to so many bytes. */
    void startTransmission(int most) {
        mostBlock = most;
        phase = Phase.REQUEST;
        expect(REQUEST_HEAD);
    }

    /** Whether a message has begun that has not fully come. */
    boolean isInsideMessage() {
        return phase != Phase.REQUEST || inMiddle();
    }

    @Override
    protected void piece(ChannelHandlerContext ctx, ByteBuf piece)
            throws MalformedMessageException {
        switch (phase) {
            case FLAGS -> {
                int flags = piece.readInt();
                piece.release();
                expectOption();
                ctx.fireChannelRead(flags);
            }
            case OPTION -> option(piece);
            case OPTION_DATA -> {
                expectOption();
                ctx.fireChannelRead(new NbdOption(option, piece));
            }
            case TOO_BIG -> {
                expectOption();
                ctx.fireChannelRead(new NbdOption(option, null));
            }
            case REQUEST -> request(ctx, piece);
            case PAYLOAD -> {
                expectRequest();
                NbdRequest whole =
                        new NbdRequest(
                                request.flags(),
                                request.command(),
                                request.cookie(),
                                request.offset(),
                                request.length(),
                                piece,
                                admitted);
                admitted = 0;
                ctx.fireChannelRead(whole);
            }
            case UNWANTED -> {
                expectRequest();
                ctx.fireChannelRead(request);
            }
        }
    }

    private void expectOption() {
        phase = Phase.OPTION;
        expect(OPTION_HEAD);
    }

    private void expectRequest() {
        phase = Phase.REQUEST;
        expect(REQUEST_HEAD);
    }

    private void option(ByteBuf piece) throws MalformedMessageException {
        long magic = piece.readLong();
        option = piece.readInt();
        long length = piece.readUnsignedInt();
        piece.release();
        if (magic != NbdConstants.IHAVEOPT) {
            throw new MalformedMessageException("option starts with 0x" + Long.toHexString(magic));
        }
        if (length > LONGEST_SKIPPED_OPTION) {
            throw new MalformedMessageException(
                    "option of " + length + " bytes, at most " + LONGEST_SKIPPED_OPTION);
        }
        if (length > LONGEST_OPTION) {
            phase = Phase.TOO_BIG;
            skip(length);
        } else {
            phase = Phase.OPTION_DATA;
            expect((int) length);
        }
    }

    private void request(ChannelHandlerContext ctx, ByteBuf piece)
            throws MalformedMessageException {
        int magic = piece.readInt();
        int flags = piece.readUnsignedShort();
        int command = piece.readUnsignedShort();
        long cookie = piece.readLong();
        long offset = piece.readLong();
        int length = piece.readInt();
        piece.release();
        if (magic != NbdConstants.REQUEST_MAGIC) {
            throw new MalformedMessageException(
                    "request starts with 0x" + Integer.toHexString(magic));
        }
        long bytes = Integer.toUnsignedLong(length);
        request = new NbdRequest(flags, command, cookie, offset, length, Unpooled.EMPTY_BUFFER, 0);
        if (command == NbdConstants.CMD_WRITE && bytes > mostBlock) {
            // The text lets the server end the connection, or read it all and answer EINVAL: the
            // second, while it is not out of all proportion.
            if (bytes > 4L * mostBlock) {
                throw new MalformedMessageException(
                        "write of " + bytes + " bytes, at most " + mostBlock);
            }
            phase = Phase.UNWANTED;
            skip(bytes);
            return;
        }
        boolean moves =
                command == NbdConstants.CMD_WRITE
                        || (command == NbdConstants.CMD_READ && bytes <= mostBlock);
        phase = Phase.PAYLOAD;
        expect(command == NbdConstants.CMD_WRITE ? length : 0);
        admit(ctx, (moves ? bytes : 0) + REQUEST_WEIGHT);
    }

    private void admit(ChannelHandlerContext ctx, long bytes) {
        Runnable later =
                () ->
                        ctx.channel()
                                .eventLoop()
                                .execute(
                                        () -> {
                                            if (ctx.isRemoved() || !ctx.channel().isActive()) {
                                                return;
                                            }
                                            admit(ctx, bytes);
                                        });
        if (gate.admit(bytes, later)) {
            admitted = bytes;
            resume();
        } else {
            halt();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
        if (admitted > 0) {
            gate.returned(admitted);
            admitted = 0;
        }
        super.channelInactive(ctx);
    }
}
