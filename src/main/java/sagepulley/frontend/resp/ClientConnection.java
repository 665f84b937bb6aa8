package sagepulley.frontend.resp;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.channel.unix.UnixChannel;
import io.netty.handler.codec.DecoderException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.List;
import sagepulley.codec.resp.InputBudget;
import sagepulley.codec.resp.Resp;
import sagepulley.codec.resp.RespDecoder;
import sagepulley.codec.resp.RespEncoder;
import sagepulley.codec.resp.RespLimits;
import sagepulley.logging.LogWriter;
import sagepulley.transport.KernelReceiveTime;
import sagepulley.transport.PeerAcknowledgement;
import sagepulley.transport.PollNotifier;
import sagepulley.transport.RoundRobinExecutor;
import sagepulley.transport.SocketWriter;

/**
 * Manages one client connection: reads commands and writes the replies in the order of the
 * commands.
 *
 * <p>Commands behind others are decoded as far as the memory for their replies allows; the rest
 * stays unread. Draining answers every command that has arrived, and shuts down the output once
 * nothing is left to read or to write. Input is still read after that, so that the peer's FIN is
 * detected and no unread bytes remain in the kernel at the close, which would turn it into a reset.
 * Runs on the event loop; times are in milliseconds of the handler's clock.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    private enum Phase {
        OPEN,
        /** Read and write commands are rejected; pending replies are still written. */
        DRAINING,
        /** All replies are written and the output is shut down; further input is dropped. */
        HALF_CLOSED,
        CLOSED
    }

    private static final int MAX_LINE_BYTES = 64;
    private static final int MAX_ARGUMENTS = 8;
    private static final int MAX_OTHER_ARGUMENTS_BYTES = 4096;
    private static final RespLimits LIMITS =
            RespLimits.commands(
                    MAX_LINE_BYTES,
                    RespLimits.MAX_VALUE_BYTES,
                    RespLimits.MAX_VALUE_BYTES + MAX_OTHER_ARGUMENTS_BYTES,
                    MAX_ARGUMENTS);

    /** What a draining connection does with a command received in part. */
    private enum PartialCommand {
        AWAIT,
        REJECT,
        DROP
    }

    /** Reading pauses while this many replies of the connection are pending. */
    private static final int MAX_PENDING_REPLIES = 64;

    /** Memory for a command in part that each connection has, however much others use. */
    private static final int OWN_INPUT_BYTES = 2_048;

    /** Input that is read ahead of the commands that may be decoded. */
    private static final int MAX_READ_AHEAD_BYTES = 262_144;

    /** Memory of a pending reply without its bytes. */
    private static final int PENDING_REPLY_BYTES = 256;

    /** Reading pauses from the high to the low mark of bytes that the client has not read. */
    private static final int UNREAD_LOW_BYTES = 65_536;

    private static final int UNREAD_HIGH_BYTES = 262_144;

    /** Input that is read at once before the output is shut down. */
    private static final int LAST_READ_BYTES = 65_536;

    private static final int MAX_LAST_READS = 16;

    /** Handles commands and connection events of clients. */
    interface Handler {
        /** Handles a read or write command. The pending reply is completed immediately or later. */
        void onRequest(
                ClientConnection connection, PendingReply pendingReply, List<byte[]> arguments);

        /**
         * Handles a command that was received whole, but not kept for lack of memory, and completes
         * the pending reply.
         */
        void onDiscarded(PendingReply pendingReply);

        /** Called when the connection has closed before a command in flight was replied to. */
        void onClientCancelled(PendingReply pendingReply);

        /** Called when the connection has closed. */
        void onClosed(ClientConnection connection);

        /** Returns the current time in milliseconds. */
        double now();
    }

    /** The reply to one command, queued in the order of commands until it can be written. */
    static final class PendingReply {
        private final ClientConnection connection;
        private ByteBuf reply;

        /** Bytes of the request memory that the command and its reply use. */
        private long usedBytes;

        /** State that the handler associates with the command; null once it is replied to. */
        Object attachment;

        private PendingReply(ClientConnection connection) {
            this.connection = connection;
            use(PENDING_REPLY_BYTES);
        }

        /** Reserves memory until the reply is set; returns false if there is too little left. */
        boolean tryReserve(long bytes) {
            if (!connection.memory.tryAdmit(bytes, mayUseLastPart())) {
                return false;
            }
            usedBytes += bytes;
            connection.usedBytes += bytes;
            return true;
        }

        /** Returns the connection that the command came on. */
        ClientConnection connection() {
            return connection;
        }

        /** Returns whether no earlier reply of the connection is pending. */
        private boolean isNext() {
            return connection.pendingReplies.peek() == this;
        }

        /**
         * Returns whether this is the next reply of its connection, and the client reads its
         * replies; its operation may then use the last part of the request memory.
         */
        boolean mayUseLastPart() {
            return isNext() && connection.readsItsReplies();
        }

        /** Returns whether there is memory for a reply of this size. */
        boolean canKeep(int replyBytes) {
            long added = PENDING_REPLY_BYTES + replyBytes - usedBytes;
            return isNext() ? connection.memory.mayWrite(added) : connection.memory.mayQueue(added);
        }

        /** Sets the reply and writes all replies that are ready. Must be called at most once. */
        void reply(ByteBuf bytes) {
            attachment = null;
            reply = bytes;
            use(PENDING_REPLY_BYTES + bytes.readableBytes() - usedBytes);
            connection.writeReadyReplies();
        }

        private void use(long bytes) {
            usedBytes += bytes;
            connection.use(bytes);
        }
    }

    private final Handler handler;
    private final ClientMemory memory;
    private final ConnectionTurn turn;
    private final PollNotifier polls;
    private final ClientPresence presence;
    private final RespDecoder decoder = new RespDecoder(LIMITS, inputBudget());
    private final ArrayDeque<PendingReply> pendingReplies = new ArrayDeque<>();
    private Channel channel;
    private SocketWriter writer;
    private Phase phase = Phase.OPEN;

    /** Bytes of the request memory that this connection uses. */
    private long usedBytes;

    private PartialCommand partialCommand = PartialCommand.AWAIT;

    private boolean isReadingLastInput;
    private boolean isPaused;

    /** Whether replies are collected until the input that was read is worked off. */
    private boolean isCollectingReplies;

    /** Time at which reading was last resumed. */
    private double resumedAt = Double.NEGATIVE_INFINITY;

    /** Time at which the client connected. */
    double connectedAt;

    /** Time at which the last command was read or the last reply was written. */
    double lastActiveAt;

    /** Time at which bytes were last read. */
    double lastReadAt;

    /** Time since which a partial command has been buffered; infinite if there is none. */
    double partialCommandSince = Double.POSITIVE_INFINITY;

    /**
     * Time since which the client has left too many bytes of its replies unread; infinite if it has
     * not.
     */
    double unwritableSince = Double.POSITIVE_INFINITY;

    /** Time at which draining began; infinite before that. */
    double drainingSince = Double.POSITIVE_INFINITY;

    /** Time since which the output is shut down; infinite before that. */
    double drainedSince = Double.POSITIVE_INFINITY;

    /** Whether a valid read or write, or a PING, has been received. */
    boolean hasSentCommand;

    /** Reason for the close, for the log; null unless this side closed it or an error occurred. */
    private String closeReason;

    ClientConnection(
            Handler handler,
            ClientMemory memory,
            RoundRobinExecutor turns,
            PollNotifier polls,
            PeerAcknowledgement acknowledgement) {
        this.handler = handler;
        this.memory = memory;
        this.polls = polls;
        this.turn = new ConnectionTurn(turns, this::decodeWaiting, this::updateAutoRead);
        this.presence = new ClientPresence(acknowledgement);
    }

    /** Returns the decoder, which precedes this handler in the channel's pipeline. */
    RespDecoder decoder() {
        return decoder;
    }

    private InputBudget inputBudget() {
        return new InputBudget() {
            @Override
            public boolean mayDecode() {
                turn.endIfCommandsUsed();
                boolean mayRead = mayRead();
                if (mayRead) {
                    turn.addCommand();
                } else {
                    updateAutoRead();
                }
                return mayRead;
            }

            @Override
            public void decoded() {
                flushCollectedReplies();
            }

            @Override
            public void received(int bytes, boolean drained) {
                presence.onRead(drained, handler.now());
                turn.addBytes(bytes);
                if (turn.isOver() || decoder.waitingBytes() > 0) {
                    updateAutoRead();
                }
            }

            @Override
            public boolean reserve(int bytes) {
                if (decoder.partialBytes() + bytes <= OWN_INPUT_BYTES) {
                    memory.input().reserve(bytes);
                    return true;
                }
                return memory.reserveInput(bytes);
            }

            @Override
            public void reserveWaiting(int bytes) {
                memory.waitingInput().reserve(bytes);
            }

            @Override
            public void releaseWaiting(int bytes) {
                memory.waitingInput().release(bytes);
            }

            @Override
            public void release(int bytes) {
                memory.input().release(bytes);
            }
        };
    }

    /** Returns whether a command has been received in part. */
    boolean isReadingCommand() {
        return decoder.hasPartialValue();
    }

    /** Returns the bytes of a command received in part. */
    int partialCommandBytes() {
        return decoder.partialBytes();
    }

    /** Drops the bytes of a command received in part; it is rejected once it is complete. */
    void discardPartialCommand() {
        decoder.discardPartialValue();
    }

    boolean hasPendingReplies() {
        return !pendingReplies.isEmpty();
    }

    boolean isDraining() {
        return phase != Phase.OPEN;
    }

    /** Returns how long ago the bytes of the current command arrived at this host. */
    double millisSinceReceived(KernelReceiveTime receiveTime) {
        return receiveTime.millisSinceReceived(channel, lastActiveAt - connectedAt);
    }

    /**
     * Returns whether a command that arrived at the given time was left unread behind other
     * commands.
     */
    boolean wasHeldBack(double receivedAt) {
        return receivedAt < resumedAt;
    }

    String closeReason() {
        return closeReason;
    }

    /**
     * Replies to all commands that have arrived, including one received in part once it is
     * complete, then shuts down the output. The connection closes when the client's FIN arrives.
     */
    void drain(String reason) {
        if (phase == Phase.OPEN) {
            closeReason = reason;
            beginDraining();
            writeReadyReplies();
        }
    }

    private void beginDraining() {
        phase = Phase.DRAINING;
        drainingSince = handler.now();
    }

    /** Drains the connection without waiting for the rest of a command received in part. */
    void drainWithoutWaiting(String reason) {
        drain(reason, PartialCommand.DROP);
    }

    /** Drains the connection; rejects a command of which a part is still missing. */
    void drainAndRejectPartialCommand(String reason) {
        drain(reason, PartialCommand.REJECT);
    }

    private void drain(String reason, PartialCommand ofPartialCommand) {
        partialCommand = ofPartialCommand;
        drain(reason);
        shutDownIfDrained();
    }

    /** Closes the connection immediately. */
    void close(String reason) {
        if (channel != null) {
            closeReason = closeReason == null ? reason : closeReason + ", " + reason;
            channel.close();
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        writer = new SocketWriter(channel, this::onWritten);
        connectedAt = handler.now();
        presence.onConnected(connectedAt);
        lastActiveAt = connectedAt;
        lastReadAt = connectedAt;
        channel.closeFuture().addListener(closed -> onChannelClosed());
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (phase == Phase.HALF_CLOSED || phase == Phase.CLOSED) {
            return; // dropped, because the output is already shut down
        }
        lastActiveAt = handler.now();
        isCollectingReplies = true;
        PendingReply pendingReply = addPendingReply();
        if (message instanceof Resp.Discarded) {
            handler.onDiscarded(pendingReply);
            return;
        }
        List<byte[]> arguments = BlockCommand.arguments((Resp.Array) message);
        String name = BlockCommand.text(arguments.get(0));
        switch (name) {
            case BlockCommand.READ, BlockCommand.WRITE ->
                    handler.onRequest(this, pendingReply, arguments);
            case "PING" -> {
                hasSentCommand = true;
                pendingReply.reply(
                        arguments.size() == 1
                                ? RespEncoder.simple("PONG")
                                : RespEncoder.error(
                                        "ERR PING with "
                                                + (arguments.size() - 1)
                                                + " arguments, expected 0"));
            }
            default ->
                    pendingReply.reply(
                            RespEncoder.error(
                                    "ERR unknown command, expected "
                                            + BlockCommand.READ
                                            + ", "
                                            + BlockCommand.WRITE
                                            + " or PING"));
        }
        updateAutoRead();
    }

    private PendingReply addPendingReply() {
        PendingReply pendingReply = new PendingReply(this);
        pendingReplies.add(pendingReply);
        return pendingReply;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        recordRead();
        flushCollectedReplies();
        turn.beginUnlessOver();
        shutDownIfDrained();
    }

    private void recordRead() {
        lastReadAt = handler.now();
        partialCommandSince =
                !isReadingCommand()
                        ? Double.POSITIVE_INFINITY
                        : Math.min(partialCommandSince, lastReadAt);
    }

    // ---- replies ----

    private void writeReadyReplies() {
        if (phase == Phase.CLOSED) {
            return; // onChannelClosed releases the replies
        }
        boolean hasWritten = false;
        while (!pendingReplies.isEmpty() && pendingReplies.peek().reply != null) {
            PendingReply next = pendingReplies.poll();
            next.use(next.reply.readableBytes() - next.usedBytes);
            writer.write(next.reply);
            hasWritten = true;
        }
        if (hasWritten) {
            lastActiveAt = handler.now();
        }
        if (isCollectingReplies) {
            return; // flushCollectedReplies goes on
        }
        if (hasWritten) {
            writer.flush();
            updateUnwritable();
        }
        updateAutoRead();
        shutDownIfDrained();
    }

    /** Writes the replies to the commands of one read at once. */
    private void flushCollectedReplies() {
        if (isCollectingReplies && phase != Phase.CLOSED) {
            isCollectingReplies = false;
            writer.flush();
            updateUnwritable();
            updateAutoRead();
        }
    }

    private void onWritten(long bytes) {
        use(-bytes);
        presence.onWritten(handler.now());
        updateUnwritable();
        updateAutoRead();
        if (writer.queuedBytes() == 0) {
            shutDownIfDrained();
        }
    }

    private void use(long bytes) {
        usedBytes += bytes;
        memory.adjust(bytes);
    }

    /** Returns whether the client has left few bytes of its replies unread. */
    private boolean readsItsReplies() {
        return writer.queuedBytes() < UNREAD_LOW_BYTES;
    }

    private void updateUnwritable() {
        long unreadBytes = writer.queuedBytes();
        if (unreadBytes < UNREAD_LOW_BYTES) {
            unwritableSince = Double.POSITIVE_INFINITY;
        } else if (unreadBytes > UNREAD_HIGH_BYTES) {
            unwritableSince = Math.min(unwritableSince, handler.now());
        }
    }

    // ---- reading ----

    /** Decodes input that waits, after others had their turn. */
    private void decodeWaiting() {
        if (phase != Phase.CLOSED) {
            decoder.decodeWaiting();
        }
    }

    private boolean mayRead() {
        if (turn.isOver()) {
            return false;
        }
        if (phase == Phase.HALF_CLOSED) {
            return true;
        }
        if (unwritableSince < Double.POSITIVE_INFINITY) {
            return false;
        }
        if (pendingReplies.isEmpty() && readsItsReplies()) {
            return true;
        }
        return pendingReplies.size() < MAX_PENDING_REPLIES && memory.mayPipeline(usedBytes);
    }

    /**
     * Returns whether input is read though it has to wait. The client's FIN is found behind it, and
     * a socket that is read empty proves that the client is still there.
     */
    private boolean mayReadAhead() {
        return !turn.isOver()
                && decoder.waitingBytes() < MAX_READ_AHEAD_BYTES
                && memory.mayReadAhead();
    }

    private void setReading(boolean reading) {
        if (reading != presence.isReading()) {
            presence.onReadingChanged(reading, handler.now());
            channel.config().setAutoRead(reading);
            if (reading) {
                long changes = presence.changes();
                polls.runAfterPoll(() -> presence.onPolled(changes, handler.now()));
            }
        }
    }

    /** Returns whether the client is known to have been there lately. */
    boolean isClientPresent() {
        return presence.isPresent(channel, handler.now());
    }

    /**
     * Pauses reading while too many replies are pending, the client does not read them, or there is
     * no memory for more.
     */
    void updateAutoRead() {
        if (phase == Phase.CLOSED || turn.isRunning()) {
            return;
        }
        boolean mayRead = mayRead();
        if (mayRead && decoder.waitingBytes() > 0 && !decoder.isDecoding()) {
            turn.request();
        }
        if (mayRead || memory.hasRoomForPipelining()) {
            memory.removePaused(this);
        } else {
            memory.addPaused(this);
        }
        if (isPaused && mayRead) {
            resumedAt = handler.now();
        }
        isPaused = !mayRead;
        setReading((mayRead && decoder.waitingBytes() == 0) || mayReadAhead());
    }

    // ---- end ----

    /** Shuts down the output of a draining connection once it has nothing to read or to write. */
    private void shutDownIfDrained() {
        if (phase != Phase.DRAINING || isReadingLastInput || !isDrained()) {
            return;
        }
        isReadingLastInput = true;
        try {
            if (!decoder.hasFailed() && !readLastInput()) {
                return; // the event loop reads on
            }
        } finally {
            isReadingLastInput = false;
        }
        if (phase != Phase.DRAINING || !isDrained()) {
            return;
        }
        if (partialCommand == PartialCommand.REJECT && decoder.hasPartialValue()) {
            decoder.close();
            addPendingReply().reply(RespEncoder.error("BUSY"));
        } else {
            shutDownOutput();
        }
    }

    private boolean isDrained() {
        return pendingReplies.isEmpty()
                && writer.queuedBytes() == 0
                && !decoder.hasWaitingInput()
                && !(partialCommand == PartialCommand.AWAIT && decoder.hasPartialValue());
    }

    /**
     * Reads what the kernel has received, so that no command that arrived before the shutdown is
     * dropped. Returns false if there may be more.
     */
    private boolean readLastInput() {
        if (!(channel instanceof UnixChannel socket)) {
            return true;
        }
        for (int i = 0; i < MAX_LAST_READS && channel.isActive(); i++) {
            ByteBuf input = channel.alloc().directBuffer(LAST_READ_BYTES, LAST_READ_BYTES);
            ByteBuffer bytes = input.nioBuffer(0, LAST_READ_BYTES);
            int count = -1;
            try {
                count = socket.fd().read(bytes, bytes.position(), bytes.limit());
            } catch (IOException reset) {
                closeReason = String.valueOf(reset.getMessage());
            }
            if (count <= 0) {
                input.release();
                return true;
            }
            channel.pipeline().fireChannelRead(input.writerIndex(count));
            recordRead();
            flushCollectedReplies();
            if (decoder.hasWaitingInput()) {
                return false; // decoded in the next turn
            }
        }
        return false;
    }

    /** Sends FIN. The client's FIN then closes the connection. */
    private void shutDownOutput() {
        phase = Phase.HALF_CLOSED;
        drainedSince = handler.now();
        updateAutoRead();
        if (channel instanceof DuplexChannel socket) {
            socket.shutdownOutput();
        } else {
            channel.close();
        }
    }

    /**
     * Handles the close. Called by the close future, because channelInactive is called one task
     * later, when commands read in the same loop iteration have already been forwarded.
     */
    private void onChannelClosed() {
        phase = Phase.CLOSED;
        memory.removePaused(this);
        decoder.close();
        for (PendingReply pendingReply : List.copyOf(pendingReplies)) {
            if (pendingReply.reply == null && pendingReply.attachment != null) {
                handler.onClientCancelled(pendingReply);
            }
        }
        for (PendingReply pendingReply : pendingReplies) {
            if (pendingReply.reply != null) {
                pendingReply.reply.release();
            }
        }
        pendingReplies.clear();
        writer.close();
        use(-usedBytes);
        handler.onClosed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof DecoderException && phase == Phase.OPEN) {
            beginDraining();
            closeReason = "protocol error";
            flushCollectedReplies();
            addPendingReply().reply(RespEncoder.error("ERR protocol error: " + cause.getMessage()));
        } else if (!(cause instanceof DecoderException)) {
            // A reset by the client, or another I/O error, is not logged as a failure.
            closeReason = String.valueOf(cause.getMessage());
            if (!(cause instanceof IOException)) {
                LogWriter.warn(
                        "client connection failed",
                        "reason",
                        cause,
                        "pending-replies",
                        pendingReplies.size());
            }
            ctx.close();
        }
    }
}
