package sagepulley.standin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.DuplexChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import sagepulley.codec.frame.EventLoops;
import sagepulley.codec.frame.Frame;
import sagepulley.codec.frame.FrameDecoder;
import sagepulley.codec.frame.FrameEncoder;
import sagepulley.codec.frame.FrameFields;
import sagepulley.codec.frame.MalformedMessageException;
import sagepulley.model.SlidingWindowCounter;
import sagepulley.model.TrafficClass;
import sagepulley.upstream.frame.StoreMessages;

/**
 * A small storage node: slots, a queue, a cold ramp on which it can be pushed over, writes of which
 * a part is put off, and faults on demand. All of it on one loop. It keeps the node's duties of
 * docs/protocols.md: one answer for each attempt, pens, one link for each gateway, repeats dropped
 * where a band asks for it.
 */
public final class StandInNode {
    private static final int MAX_REMEMBERED_OPERATIONS = 100_000;
    private static final int WINDOW_SLOTS = 20;

    /**
     * A pen is kept this long at least, so that its taker's writes arrive before another's take it
     * away.
     */
    private static final long MIN_WRITE_TOKEN_HOLD_NANOS = 5_000_000;

    private record ExtentKey(int volume, long extent) {}

    /** Who may write an extent, since when, and who asked to be next. */
    private static final class WriteToken {
        GatewaySession holder;
        long heldSinceNanos;
        final ArrayDeque<WriteTokenRequest> waiting = new ArrayDeque<>(1);
    }

    private record WriteTokenRequest(GatewaySession session, long requestId) {}

    private record OperationKey(long gateway, long number) {}

    /** An attempt that waits, or is worked on. */
    private static final class PendingAttempt {
        final GatewaySession session;
        final long id;
        final StoreMessages.Send send;
        final ByteBuf payload;
        final long receivedAtNanos = System.nanoTime();

        /** When work on it began; 0 before. */
        long startedAtNanos;

        boolean cancelled;

        PendingAttempt(GatewaySession link, long id, StoreMessages.Send send, ByteBuf payload) {
            this.session = link;
            this.id = id;
            this.send = send;
            this.payload = payload;
        }
    }

    private final NodeProfile profile;
    private final TrafficRecorder recorder;
    private final EventLoop loop;
    private final Random random;
    private final BlockStore blockStore;
    private final Faults faults = new Faults();
    private final List<GatewaySession> sessions = new ArrayList<>();
    private final ArrayDeque<PendingAttempt> queue = new ArrayDeque<>();
    private final Map<ExtentKey, WriteToken> writeTokens = new HashMap<>();

    /** Marks of deduplicated operations that ran. */
    private final Map<OperationKey, Boolean> executedOperations =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<OperationKey, Boolean> eldest) {
                    return size() > MAX_REMEMBERED_OPERATIONS;
                }
            };

    /** Units served, by volume; and by gateway and volume. */
    private final Map<Integer, Double> servedUnits = new HashMap<>();

    private Channel listener;
    private InetSocketAddress address;
    private int busySlots;
    private double deferredCostMillis;
    private boolean draining;
    private boolean collapsed;
    private boolean lostData;
    private long startedAtWallMillis;
    private long startedNanos;
    private SlidingWindowCounter recentUnits;
    private int incarnation;

    /** A node on a loop of the group; chance (for shares of faults) comes from the seed. */
    public StandInNode(
            NodeProfile profile, EventLoopGroup group, TrafficRecorder recorder, long seed) {
        this.profile = profile;
        this.recorder = recorder;
        this.loop = group.next();
        this.random = new Random(seed);
        this.blockStore = new BlockStore(profile.extentBytes(), profile.dataFolder());
    }

    public NodeProfile profile() {
        return profile;
    }

    public Faults faults() {
        return faults;
    }

    public InetSocketAddress address() {
        return address;
    }

    /** When it last started, wall-clock milliseconds; 0 where it counts as started long ago. */
    public long startedAt() {
        return startedAtWallMillis;
    }

    public boolean isDraining() {
        return draining;
    }

    /** Whether it was pushed over. */
    public boolean hasCollapsed() {
        return collapsed;
    }

    /** Starts to listen, warm. */
    public CompletableFuture<StandInNode> start(InetSocketAddress at) {
        return listen(at, true);
    }

    private CompletableFuture<StandInNode> listen(InetSocketAddress at, boolean warm) {
        CompletableFuture<StandInNode> ready = new CompletableFuture<>();
        loop.execute(
                () -> {
                    incarnation++;
                    collapsed = false;
                    startedAtWallMillis = warm ? 0 : System.currentTimeMillis();
                    startedNanos =
                            System.nanoTime()
                                    - (warm ? (long) (profile.slowStartMillis() * 2e6) : 0);
                    recentUnits =
                            new SlidingWindowCounter(profile.overloadWindowMillis(), WINDOW_SLOTS);
                    new ServerBootstrap()
                            .group(loop)
                            .channel(EventLoops.server())
                            .option(ChannelOption.SO_REUSEADDR, true)
                            .childOption(ChannelOption.TCP_NODELAY, true)
                            .childHandler(
                                    new ChannelInitializer<Channel>() {
                                        @Override
                                        protected void initChannel(Channel channel) {
                                            if (faults.unreachable) {
                                                channel.close();
                                                return;
                                            }
                                            channel.pipeline()
                                                    .addLast(
                                                            new FrameDecoder(profile.extentBytes()),
                                                            new FrameEncoder(),
                                                            new GatewaySession(channel));
                                        }
                                    })
                            .bind(at)
                            .addListener(
                                    (ChannelFuture bound) -> {
                                        if (!bound.isSuccess()) {
                                            ready.completeExceptionally(bound.cause());
                                            return;
                                        }
                                        listener = bound.channel();
                                        address = (InetSocketAddress) listener.localAddress();
                                        recorder.nodeStarted(
                                                profile.id(),
                                                warm ? Double.NaN : profile.unitsPerSecond(),
                                                System.nanoTime());
                                        ready.complete(this);
                                    });
                });
        return ready;
    }

    /** Ends every connection and all work, as a crash does; then it is gone until started again. */
    public CompletableFuture<Void> stop() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        loop.execute(
                () -> {
                    goDown();
                    blockStore.close();
                    stopped.complete(null);
                });
        return stopped;
    }

    private void goDown() {
        incarnation++;
        if (listener != null) {
            listener.close();
            listener = null;
        }
        List.copyOf(sessions).forEach(link -> link.channel.close());
        queue.forEach(attempt -> attempt.payload.release());
        queue.clear();
        writeTokens.clear();
        busySlots = 0;
        deferredCostMillis = 0;
    }

    /** Comes back at the same address, cold. */
    public CompletableFuture<StandInNode> restartCold() {
        InetSocketAddress at = address;
        return stop().thenCompose(done -> listen(at, false));
    }

    /** Loses what was not durable, and comes back cold. */
    public CompletableFuture<StandInNode> failPower() {
        InetSocketAddress at = address;
        CompletableFuture<Void> lost = new CompletableFuture<>();
        loop.execute(
                () -> {
                    goDown();
                    lostData |= blockStore.failPower();
                    lost.complete(null);
                });
        return lost.thenCompose(done -> listen(at, false));
    }

    /** Takes nothing new from now on. */
    public void drain() {
        loop.execute(
                () -> {
                    draining = true;
                    if (!faults.unresponsive) {
                        sessions.forEach(
                                link ->
                                        link.channel.writeAndFlush(
                                                new Frame(StoreMessages.DRAINING, 0)));
                    }
                });
    }

    /** Cuts every connection. */
    public void closeConnections() {
        loop.execute(() -> List.copyOf(sessions).forEach(link -> link.channel.close()));
    }

    /** Stands still: looks at nothing that comes and serves nothing, until it goes on. */
    public void pause(boolean still) {
        faults.paused = still;
        loop.execute(
                () -> {
                    if (!faults.paused) {
                        List.copyOf(sessions).forEach(GatewaySession::handleInbox);
                        serve();
                    }
                });
    }

    // ---- work ----

    private void accept(PendingAttempt attempt) {
        double now = nowMillis();
        recentUnits.add(now, attempt.send.units());
        if (isOverloaded(now)) {
            collapsed = true;
            attempt.payload.release();
            recorder.nodeCollapsed(profile.id(), System.nanoTime());
            goDown();
            return;
        }
        StoreMessages.Code refusal = null;
        if (draining) {
            refusal = StoreMessages.Code.DRAINING;
        } else if (faults.rejecting || queue.size() >= profile.queueLimit()) {
            refusal = StoreMessages.Code.FULL;
        } else if (attempt.send.extentMustExist()
                && !blockStore.has(attempt.send.volume(), attempt.send.extent())) {
            refusal = StoreMessages.Code.NOT_EXECUTED;
        } else if (attempt.send.kind().modifiesData() && !holdsWriteToken(attempt)) {
            refusal = StoreMessages.Code.STALE_WRITE_TOKEN;
        }
        if (refusal != null) {
            attempt.payload.release();
            answer(attempt, refusal, Unpooled.EMPTY_BUFFER);
            return;
        }
        queue.add(attempt);
        serve();
    }

    private boolean holdsWriteToken(PendingAttempt attempt) {
        WriteToken token =
                writeTokens.get(new ExtentKey(attempt.send.volume(), attempt.send.extent()));
        return token != null && token.holder == attempt.session;
    }

    private void requestWriteToken(ExtentKey key, WriteTokenRequest request) {
        WriteToken token = writeTokens.computeIfAbsent(key, any -> new WriteToken());
        token.waiting.add(request);
        passWriteToken(key, token);
    }

    private void passWriteToken(ExtentKey key, WriteToken token) {
        while (!token.waiting.isEmpty()) {
            WriteTokenRequest request = token.waiting.peek();
            long kept = System.nanoTime() - token.heldSinceNanos;
            boolean taken =
                    token.holder != null
                            && token.holder != request.session()
                            && token.holder.channel.isActive();
            if (taken && kept < MIN_WRITE_TOKEN_HOLD_NANOS) {
                loop.schedule(
                        () -> passWriteToken(key, token),
                        MIN_WRITE_TOKEN_HOLD_NANOS - kept,
                        TimeUnit.NANOSECONDS);
                return;
            }
            token.waiting.poll();
            if (taken) {
                token.holder.channel.writeAndFlush(
                        StoreMessages.writeToken(
                                StoreMessages.WRITE_TOKEN_REVOKED, 0, key.volume(), key.extent()));
            }
            token.holder = request.session();
            token.heldSinceNanos = System.nanoTime();
            request.session()
                    .channel
                    .writeAndFlush(
                            StoreMessages.writeToken(
                                    StoreMessages.WRITE_TOKEN_GRANTED,
                                    request.requestId(),
                                    key.volume(),
                                    key.extent()));
        }
    }

    private double nowMillis() {
        return System.nanoTime() / 1e6;
    }

    /** What it can do now, as a part of what it can do when warm. */
    private double capacityShare() {
        double age = (System.nanoTime() - startedNanos) / 1e6;
        return Math.min(
                1,
                profile.slowStartShare()
                        + (1 - profile.slowStartShare()) * age / profile.slowStartMillis());
    }

    private boolean isOverloaded(double now) {
        double warm = capacityShare();
        double span = profile.overloadWindowMillis() / 1000;
        return warm < 1
                && recentUnits.sumUnderestimate(now)
                        > Math.max(
                                profile.slowStartUnits(),
                                profile.overloadMultiple()
                                        * warm
                                        * profile.unitsPerSecond()
                                        * span);
    }

    private void serve() {
        while (busySlots < profile.slots() && !queue.isEmpty() && !faults.paused) {
            PendingAttempt attempt = queue.poll();
            if (attempt.cancelled || !attempt.session.channel.isActive()) {
                attempt.payload.release();
                answer(attempt, StoreMessages.Code.CANCELLED, Unpooled.EMPTY_BUFFER);
                continue;
            }
            // Work is begun in the order it came, and has its effect when it begins: no later write

            // of an extent can be undone by an earlier one.

            begin(attempt);
        }
    }

    private void begin(PendingAttempt attempt) {
        attempt.startedAtNanos = System.nanoTime();
        StoreMessages.Send send = attempt.send;
        StoreMessages.Code code = StoreMessages.Code.SERVED;
        ByteBuf result = Unpooled.EMPTY_BUFFER;
        if (send.kind().modifiesData() && !holdsWriteToken(attempt)) {
            attempt.payload.release();
            answer(attempt, StoreMessages.Code.STALE_WRITE_TOKEN, result);
            return;
        }
        try {
            result = execute(attempt);
        } catch (IOException e) {
            code = StoreMessages.Code.FAILED;
        } finally {
            attempt.payload.release();
        }
        if (faults.errorShare > 0 && random.nextDouble() < faults.errorShare) {
            code = StoreMessages.Code.FAILED;
        }
        if (code == StoreMessages.Code.FAILED) {
            result.release();
            result = Unpooled.EMPTY_BUFFER;
        } else {
            servedUnits.merge(send.volume(), (double) send.units(), Double::sum);
            attempt.session.ownUnits.merge(send.volume(), (double) send.units(), Double::sum);
        }
        double cost = costMillis(send);
        if (cost <= 0) {
            answer(attempt, code, result);
            return;
        }
        busySlots++;
        int then = incarnation;
        StoreMessages.Code end = code;
        ByteBuf data = result;
        loop.schedule(
                () -> {
                    if (incarnation != then) {
                        data.release();
                        return;
                    }
                    busySlots--;
                    answer(attempt, end, data);
                    serve();
                },
                (long) (cost * 1e6),
                TimeUnit.NANOSECONDS);
    }

    private double costMillis(StoreMessages.Send send) {
        boolean writes = send.kind().modifiesData();
        double cost =
                send.units() * (writes ? profile.writeCostMillis() : profile.readCostMillis());
        if (writes && profile.deferredShare() > 0) {
            // A part of each write is put off, and falls to whoever comes when its time is up.

            double late = cost * profile.deferredShare();
            cost -= late;
            deferredCostMillis += late;
            if (Math.floorMod((long) nowMillis(), (long) profile.deferIntervalMillis()) < 10) {
                cost += deferredCostMillis;
                deferredCostMillis = 0;
            }
        }
        return cost * faults.slowdownFactor / capacityShare();
    }

    private ByteBuf execute(PendingAttempt attempt) throws IOException {
        StoreMessages.Send send = attempt.send;
        if (send.offset() + send.length() > profile.extentBytes()) {
            throw new IOException("past the extent's end");
        }
        if (send.idempotency() == TrafficClass.Idempotency.DEDUPLICATED.ordinal()
                && executedOperations.put(
                                new OperationKey(attempt.session.gateway, send.operationId()), true)
                        != null) {
            return Unpooled.EMPTY_BUFFER;
        }
        recorder.operationExecuted(profile.id(), attempt.session.gateway, send, System.nanoTime());
        switch (send.kind()) {
            case READ -> {
                ByteBuf into = attempt.session.channel.alloc().ioBuffer(Math.max(1, send.length()));
                return blockStore.read(
                        send.volume(), send.extent(), send.offset(), send.length(), into);
            }
            case WRITE ->
                    blockStore.write(
                            send.volume(),
                            send.extent(),
                            send.offset(),
                            attempt.payload,
                            send.durable());
            case ZERO, TRIM ->
                    blockStore.zero(
                            send.volume(),
                            send.extent(),
                            send.offset(),
                            send.length(),
                            send.durable());
            case FLUSH -> {
                // Writes acknowledged by an earlier life are gone if the power failed since.

                if (lostData && send.expectedNodeStart() != startedAtWallMillis) {
                    throw new IOException("writes before the start were lost");
                }
                blockStore.flush(send.volume());
            }
        }
        return Unpooled.EMPTY_BUFFER;
    }

    private void answer(PendingAttempt attempt, StoreMessages.Code code, ByteBuf payload) {
        GatewaySession link = attempt.session;
        boolean lost =
                faults.unresponsive
                        || (faults.lostAnswerShare > 0
                                && random.nextDouble() < faults.lostAnswerShare);
        recorder.attemptAnswered(
                profile.id(),
                link.gateway,
                attempt.send.operationId(),
                attempt.send.attemptNumber(),
                code,
                lost,
                System.nanoTime());
        if (lost || !link.channel.isActive()) {
            payload.release();
            return;
        }
        link.openAttempts.remove(attempt.id);
        float[] report = {queue.size()};
        long now = System.nanoTime();
        long begun = attempt.startedAtNanos == 0 ? now : attempt.startedAtNanos;
        link.write(
                attempt.id,
                new StoreMessages.Answer(
                        code,
                        0,
                        link.unitsOfOthersSinceLastAnswer(attempt.send.volume()),
                        (begun - attempt.receivedAtNanos) / 1e6f,
                        (now - begun) / 1e6f,
                        report),
                payload);
    }

    /** One gateway's connection. */
    private final class GatewaySession extends ChannelInboundHandlerAdapter {
        final Channel channel;
        long gateway;
        boolean greeted;

        /** Units served through this link, and those of all at the last answer, by volume. */
        final Map<Integer, Double> ownUnits = new HashMap<>();

        final Map<Integer, Double> reportedOtherUnits = new HashMap<>();

        /** Attempts without an answer, and what came while the node stood still. */
        private final Map<Long, StoreMessages.Send> openAttempts = new HashMap<>();

        private final ArrayDeque<Frame> inbox = new ArrayDeque<>();
        private boolean flushDue;

        GatewaySession(Channel channel) {
            this.channel = channel;
        }

        float unitsOfOthersSinceLastAnswer(int volume) {
            double all = servedUnits.getOrDefault(volume, 0.0);
            double mine = ownUnits.getOrDefault(volume, 0.0);
            double before = reportedOtherUnits.getOrDefault(volume, all - mine);
            reportedOtherUnits.put(volume, all - mine);
            return (float) Math.max(0, all - mine - before);
        }

        void write(long attempt, StoreMessages.Answer answer, ByteBuf payload) {
            if (faults.garbleNextAnswer) {
                faults.garbleNextAnswer = false;
                payload.release();
                channel.pipeline()
                        .firstContext()
                        .writeAndFlush(
                                Unpooled.wrappedBuffer(
                                        new byte[] {
                                            9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9,
                                            9, 9, 9, 9, 9, 9, 9, 9, 9
                                        }));
                return;
            }
            if (faults.halfCloseNextAnswer && payload.isReadable()) {
                faults.halfCloseNextAnswer = false;
                halfClose(attempt, answer, payload);
                return;
            }
            if (faults.duplicateNextAnswer) {
                faults.duplicateNextAnswer = false;
                channel.write(StoreMessages.answer(attempt, answer, payload.copy()));
            }
            if (faults.answerUnknownAttempt) {
                faults.answerUnknownAttempt = false;
                channel.write(
                        StoreMessages.answer(attempt + 1_000_000, answer, Unpooled.EMPTY_BUFFER));
            }
            channel.write(StoreMessages.answer(attempt, answer, payload));
            if (!flushDue) {
                flushDue = true;
                loop.execute(
                        () -> {
                            flushDue = false;
                            channel.flush();
                        });
            }
        }

        /** Half of the frame leaves, then the sending side is closed. */
        private void halfClose(long attempt, StoreMessages.Answer answer, ByteBuf payload) {
            EmbeddedChannel encoder = new EmbeddedChannel(new FrameEncoder());
            encoder.writeOutbound(StoreMessages.answer(attempt, answer, payload));
            ByteBuf all = Unpooled.buffer();
            for (ByteBuf part = encoder.readOutbound();
                    part != null;
                    part = encoder.readOutbound()) {
                all.writeBytes(part);
                part.release();
            }
            channel.pipeline()
                    .firstContext()
                    .writeAndFlush(all.readSlice(all.readableBytes() / 2))
                    .addListener(done -> ((DuplexChannel) channel).shutdownOutput());
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            sessions.add(this);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message)
                throws MalformedMessageException {
            Frame frame = (Frame) message;
            if (greeted) {
                record(frame);
            }
            if (faults.paused) {
                inbox.add(frame);
                return;
            }
            handle(frame);
        }

        /** What passed is noted when it came, though the node may stand still. */
        private void record(Frame frame) throws MalformedMessageException {
            if (frame.type() == StoreMessages.SEND) {
                StoreMessages.Send send =
                        StoreMessages.send(
                                new Frame(
                                        frame.type(),
                                        frame.id(),
                                        frame.head().duplicate(),
                                        frame.payload()));
                openAttempts.put(frame.id(), send);
                recorder.attemptReceived(profile.id(), gateway, send, System.nanoTime());
            } else if (frame.type() == StoreMessages.CANCEL) {
                StoreMessages.Send send = openAttempts.remove(frame.id());
                if (send != null) {
                    recorder.attemptCancelled(
                            profile.id(),
                            gateway,
                            send.operationId(),
                            send.attemptNumber(),
                            System.nanoTime());
                }
            }
        }

        private void handle(Frame frame) throws MalformedMessageException {
            try {
                if (channel.isActive()) {
                    reportedOtherUnits(frame);
                }
            } finally {
                frame.release();
            }
        }

        void handleInbox() {
            for (Frame frame = inbox.poll(); frame != null; frame = inbox.poll()) {
                try {
                    handle(frame);
                } catch (MalformedMessageException bad) {
                    channel.close();
                }
            }
        }

        private void reportedOtherUnits(Frame frame) throws MalformedMessageException {
            if (!greeted && frame.type() != StoreMessages.HELLO) {
                throw new MalformedMessageException(
                        "message " + frame.type() + " before the hello");
            }
            switch (frame.type()) {
                case StoreMessages.HELLO -> hello(StoreMessages.hello(frame));
                case StoreMessages.SEND -> {
                    StoreMessages.Send send = StoreMessages.send(frame);
                    accept(new PendingAttempt(this, frame.id(), send, frame.payload().retain()));
                }
                case StoreMessages.CANCEL -> cancel(frame.id());
                case StoreMessages.HEALTH_CHECK -> {
                    if (!faults.unresponsive) {
                        channel.writeAndFlush(
                                StoreMessages.healthReport(frame.id(), new float[] {queue.size()}));
                    }
                }
                case StoreMessages.ACQUIRE_WRITE_TOKEN -> {
                    ByteBuf head = FrameFields.requireHead(frame, 12);
                    requestWriteToken(
                            new ExtentKey(head.readInt(), head.readLong()),
                            new WriteTokenRequest(this, frame.id()));
                }
                default ->
                        throw new MalformedMessageException(
                                "message " + frame.type() + " from a gateway");
            }
        }

        /**
         * An older link of the same gateway ends first: nothing that it still holds can come late.
         */
        private void hello(StoreMessages.Hello hello) {
            gateway = hello.gateway();
            greeted = true;
            for (GatewaySession older : List.copyOf(sessions)) {
                if (older != this && older.gateway == gateway) {
                    older.channel.close();
                }
            }
            channel.writeAndFlush(
                    StoreMessages.handshakeReply(
                            new StoreMessages.HandshakeReply(
                                    profile.id(),
                                    profile.cell(),
                                    profile.zone(),
                                    profile.kind(),
                                    draining,
                                    startedAtWallMillis)));
        }

        private void cancel(long attemptId) {
            for (Iterator<PendingAttempt> at = queue.iterator(); at.hasNext(); ) {
                PendingAttempt attempt = at.next();
                if (attempt.session == this && attempt.id == attemptId) {
                    at.remove();
                    attempt.cancelled = true;
                    attempt.payload.release();
                    answer(attempt, StoreMessages.Code.CANCELLED, Unpooled.EMPTY_BUFFER);
                    return;
                }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            sessions.remove(this);
            inbox.forEach(Frame::release);
            inbox.clear();
            writeTokens.values().removeIf(token -> token.holder == this && token.waiting.isEmpty());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
