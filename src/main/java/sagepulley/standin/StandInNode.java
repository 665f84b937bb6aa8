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
    private static final int MARKS_KEPT = 100_000;
    private static final int RING_PARTS = 20;

    /**
     * A pen is kept this long at least, so that its taker's writes arrive before another's take it
     * away.
     */
    private static final long PEN_KEPT_NS = 5_000_000;

    private record PenKey(int volume, long extent) {}

    /** Who may write an extent, since when, and who asked to be next. */
    private static final class Pen {
        Link holder;
        long since;
        final ArrayDeque<PenCall> next = new ArrayDeque<>(1);
    }

    private record PenCall(Link link, long id) {}

    private record Mark(long gateway, long number) {}

    /** An attempt that waits, or is worked on. */
    private static final class Work {
        final Link link;
        final long attempt;
        final StoreMessages.Send send;
        final ByteBuf payload;
        final long came = System.nanoTime();

        /** When work on it began; 0 before. */
        long begun;

        boolean calledOff;

        Work(Link link, long attempt, StoreMessages.Send send, ByteBuf payload) {
            this.link = link;
            this.attempt = attempt;
            this.send = send;
            this.payload = payload;
        }
    }

    private final NodeProfile profile;
    private final TrafficRecorder recorder;
    private final EventLoop loop;
    private final Random chance;
    private final BlockStore blockStore;
    private final Faults faults = new Faults();
    private final List<Link> links = new ArrayList<>();
    private final ArrayDeque<Work> queue = new ArrayDeque<>();
    private final Map<PenKey, Pen> pens = new HashMap<>();

    /** Marks of deduplicated operations that ran. */
    private final Map<Mark, Boolean> marks =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Mark, Boolean> eldest) {
                    return size() > MARKS_KEPT;
                }
            };

    /** Units served, by volume; and by gateway and volume. */
    private final Map<Integer, Double> served = new HashMap<>();

    private Channel listener;
    private InetSocketAddress address;
    private int busy;
    private double deferred;
    private boolean draining;
    private boolean fallen;
    private boolean lostData;
    private long startedWall;
    private long startedNanos;
    private SlidingWindowCounter pressure;
    private int life;

    /** A node on a loop of the group; chance (for shares of faults) comes from the seed. */
    public StandInNode(
            NodeProfile profile, EventLoopGroup group, TrafficRecorder recorder, long seed) {
        this.profile = profile;
        this.recorder = recorder;
        this.loop = group.next();
        this.chance = new Random(seed);
        this.blockStore = new BlockStore(profile.extentBytes(), profile.data());
    }

    public NodeProfile traits() {
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
        return startedWall;
    }

    public boolean isDraining() {
        return draining;
    }

    /** Whether it was pushed over. */
    public boolean hasFallen() {
        return fallen;
    }

    /** Starts to listen, warm. */
    public CompletableFuture<StandInNode> start(InetSocketAddress at) {
        return listen(at, true);
    }

    private CompletableFuture<StandInNode> listen(InetSocketAddress at, boolean warm) {
        CompletableFuture<StandInNode> ready = new CompletableFuture<>();
        loop.execute(
                () -> {
                    life++;
                    fallen = false;
                    startedWall = warm ? 0 : System.currentTimeMillis();
                    startedNanos =
                            System.nanoTime() - (warm ? (long) (profile.coldTime() * 2e6) : 0);
                    pressure = new SlidingWindowCounter(profile.fallTime(), RING_PARTS);
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
                                                            new Link(channel));
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
                                        recorder.started(
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
        life++;
        if (listener != null) {
            listener.close();
            listener = null;
        }
        List.copyOf(links).forEach(link -> link.channel.close());
        queue.forEach(work -> work.payload.release());
        queue.clear();
        pens.clear();
        busy = 0;
        deferred = 0;
    }

    /** Comes back at the same address, cold. */
    public CompletableFuture<StandInNode> restartCold() {
        InetSocketAddress at = address;
        return stop().thenCompose(done -> listen(at, false));
    }

    /** Loses what was not durable, and comes back cold. */
    public CompletableFuture<StandInNode> powerFails() {
        InetSocketAddress at = address;
        CompletableFuture<Void> lost = new CompletableFuture<>();
        loop.execute(
                () -> {
                    goDown();
                    lostData |= blockStore.powerFails();
                    lost.complete(null);
                });
        return lost.thenCompose(done -> listen(at, false));
    }

    /** Takes nothing new from now on. */
    public void drain() {
        loop.execute(
                () -> {
                    draining = true;
                    if (!faults.silent) {
                        links.forEach(
                                link ->
                                        link.channel.writeAndFlush(
                                                new Frame(StoreMessages.DRAINING, 0)));
                    }
                });
    }

    /** Cuts every connection. */
    public void cut() {
        loop.execute(() -> List.copyOf(links).forEach(link -> link.channel.close()));
    }

    /** Stands still: looks at nothing that comes and serves nothing, until it goes on. */
    public void pause(boolean still) {
        faults.paused = still;
        loop.execute(
                () -> {
                    if (!faults.paused) {
                        List.copyOf(links).forEach(Link::wake);
                        serve();
                    }
                });
    }

    // ---- work ----

    private void take(Work work) {
        double now = nowMs();
        pressure.add(now, work.send.units());
        if (overPressed(now)) {
            fallen = true;
            work.payload.release();
            recorder.fell(profile.id(), System.nanoTime());
            goDown();
            return;
        }
        StoreMessages.Code refusal = null;
        if (draining) {
            refusal = StoreMessages.Code.DRAINING;
        } else if (faults.refusing || queue.size() >= profile.queue()) {
            refusal = StoreMessages.Code.FULL;
        } else if (work.send.extentMustExist()
                && !blockStore.has(work.send.volume(), work.send.extent())) {
            refusal = StoreMessages.Code.NOT_EXECUTED;
        } else if (work.send.kind().modifiesData() && !holdsPen(work)) {
            refusal = StoreMessages.Code.STALE_WRITE_TOKEN;
        }
        if (refusal != null) {
            work.payload.release();
            answer(work, refusal, Unpooled.EMPTY_BUFFER);
            return;
        }
        queue.add(work);
        serve();
    }

    private boolean holdsPen(Work work) {
        Pen pen = pens.get(new PenKey(work.send.volume(), work.send.extent()));
        return pen != null && pen.holder == work.link;
    }

    private void takePen(PenKey key, PenCall call) {
        Pen pen = pens.computeIfAbsent(key, any -> new Pen());
        pen.next.add(call);
        passPen(key, pen);
    }

    private void passPen(PenKey key, Pen pen) {
        while (!pen.next.isEmpty()) {
            PenCall call = pen.next.peek();
            long kept = System.nanoTime() - pen.since;
            boolean taken =
                    pen.holder != null
                            && pen.holder != call.link()
                            && pen.holder.channel.isActive();
            if (taken && kept < PEN_KEPT_NS) {
                loop.schedule(() -> passPen(key, pen), PEN_KEPT_NS - kept, TimeUnit.NANOSECONDS);
                return;
            }
            pen.next.poll();
            if (taken) {
                pen.holder.channel.writeAndFlush(
                        StoreMessages.writeToken(
                                StoreMessages.WRITE_TOKEN_REVOKED, 0, key.volume(), key.extent()));
            }
            pen.holder = call.link();
            pen.since = System.nanoTime();
            call.link()
                    .channel
                    .writeAndFlush(
                            StoreMessages.writeToken(
                                    StoreMessages.WRITE_TOKEN_GRANTED,
                                    call.id(),
                                    key.volume(),
                                    key.extent()));
        }
    }

    private double nowMs() {
        return System.nanoTime() / 1e6;
    }

    /** What it can do now, as a part of what it can do when warm. */
    private double warmth() {
        double age = (System.nanoTime() - startedNanos) / 1e6;
        return Math.min(
                1, profile.coldShare() + (1 - profile.coldShare()) * age / profile.coldTime());
    }

    private boolean overPressed(double now) {
        double warm = warmth();
        double span = profile.fallTime() / 1000;
        return warm < 1
                && pressure.sumUnderestimate(now)
                        > Math.max(
                                profile.coldUnits(),
                                profile.fallMultiple() * warm * profile.unitsPerSecond() * span);
    }

    private void serve() {
        while (busy < profile.slots() && !queue.isEmpty() && !faults.paused) {
            Work work = queue.poll();
            if (work.calledOff || !work.link.channel.isActive()) {
                work.payload.release();
                answer(work, StoreMessages.Code.CANCELLED, Unpooled.EMPTY_BUFFER);
                continue;
            }
            // Work is begun in the order it came, and has its effect when it begins: no later write
            // of an extent can be undone by an earlier one.
            begin(work);
        }
    }

    private void begin(Work work) {
        work.begun = System.nanoTime();
        StoreMessages.Send send = work.send;
        StoreMessages.Code code = StoreMessages.Code.SERVED;
        ByteBuf result = Unpooled.EMPTY_BUFFER;
        if (send.kind().modifiesData() && !holdsPen(work)) {
            work.payload.release();
            answer(work, StoreMessages.Code.STALE_WRITE_TOKEN, result);
            return;
        }
        try {
            result = run(work);
        } catch (IOException e) {
            code = StoreMessages.Code.FAILED;
        } finally {
            work.payload.release();
        }
        if (faults.erring > 0 && chance.nextDouble() < faults.erring) {
            code = StoreMessages.Code.FAILED;
        }
        if (code == StoreMessages.Code.FAILED) {
            result.release();
            result = Unpooled.EMPTY_BUFFER;
        } else {
            served.merge(send.volume(), (double) send.units(), Double::sum);
            work.link.own.merge(send.volume(), (double) send.units(), Double::sum);
        }
        double cost = cost(send);
        if (cost <= 0) {
            answer(work, code, result);
            return;
        }
        busy++;
        int then = life;
        StoreMessages.Code end = code;
        ByteBuf data = result;
        loop.schedule(
                () -> {
                    if (life != then) {
                        data.release();
                        return;
                    }
                    busy--;
                    answer(work, end, data);
                    serve();
                },
                (long) (cost * 1e6),
                TimeUnit.NANOSECONDS);
    }

    private double cost(StoreMessages.Send send) {
        boolean writes = send.kind().modifiesData();
        double cost = send.units() * (writes ? profile.writeCost() : profile.readCost());
        if (writes && profile.deferredShare() > 0) {
            // A part of each write is put off, and falls to whoever comes when its time is up.
            double late = cost * profile.deferredShare();
            cost -= late;
            deferred += late;
            if (Math.floorMod((long) nowMs(), (long) profile.deferEvery()) < 10) {
                cost += deferred;
                deferred = 0;
            }
        }
        return cost * faults.slow / warmth();
    }

    private ByteBuf run(Work work) throws IOException {
        StoreMessages.Send send = work.send;
        if (send.offset() + send.length() > profile.extentBytes()) {
            throw new IOException("past the extent's end");
        }
        if (send.idempotency() == TrafficClass.Idempotency.DEDUPLICATED.ordinal()
                && marks.put(new Mark(work.link.gateway, send.operationId()), true) != null) {
            return Unpooled.EMPTY_BUFFER;
        }
        recorder.ran(profile.id(), work.link.gateway, send, System.nanoTime());
        switch (send.kind()) {
            case READ -> {
                ByteBuf into = work.link.channel.alloc().ioBuffer(Math.max(1, send.length()));
                return blockStore.read(
                        send.volume(), send.extent(), send.offset(), send.length(), into);
            }
            case WRITE ->
                    blockStore.write(
                            send.volume(),
                            send.extent(),
                            send.offset(),
                            work.payload,
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
                if (lostData && send.expectedNodeStart() != startedWall) {
                    throw new IOException("writes before the start were lost");
                }
                blockStore.flush(send.volume());
            }
        }
        return Unpooled.EMPTY_BUFFER;
    }

    private void answer(Work work, StoreMessages.Code code, ByteBuf payload) {
        Link link = work.link;
        boolean lost = faults.silent || (faults.losing > 0 && chance.nextDouble() < faults.losing);
        recorder.answered(
                profile.id(),
                link.gateway,
                work.send.operationId(),
                work.send.attemptNumber(),
                code,
                lost,
                System.nanoTime());
        if (lost || !link.channel.isActive()) {
            payload.release();
            return;
        }
        link.open.remove(work.attempt);
        float[] report = {queue.size()};
        long now = System.nanoTime();
        long begun = work.begun == 0 ? now : work.begun;
        link.write(
                work.attempt,
                new StoreMessages.Answer(
                        code,
                        0,
                        link.others(work.send.volume()),
                        (begun - work.came) / 1e6f,
                        (now - begun) / 1e6f,
                        report),
                payload);
    }

    /** One gateway's connection. */
    private final class Link extends ChannelInboundHandlerAdapter {
        final Channel channel;
        long gateway;
        boolean greeted;

        /** Units served through this link, and those of all at the last answer, by volume. */
        final Map<Integer, Double> own = new HashMap<>();

        final Map<Integer, Double> told = new HashMap<>();

        /** Attempts without an answer, and what came while the node stood still. */
        private final Map<Long, StoreMessages.Send> open = new HashMap<>();

        private final ArrayDeque<Frame> inbox = new ArrayDeque<>();
        private boolean flushDue;

        Link(Channel channel) {
            this.channel = channel;
        }

        float others(int volume) {
            double all = served.getOrDefault(volume, 0.0);
            double mine = own.getOrDefault(volume, 0.0);
            double before = told.getOrDefault(volume, all - mine);
            told.put(volume, all - mine);
            return (float) Math.max(0, all - mine - before);
        }

        void write(long attempt, StoreMessages.Answer answer, ByteBuf payload) {
            if (faults.garble) {
                faults.garble = false;
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
            if (faults.halfClose && payload.isReadable()) {
                faults.halfClose = false;
                halfClose(attempt, answer, payload);
                return;
            }
            if (faults.twice) {
                faults.twice = false;
                channel.write(StoreMessages.answer(attempt, answer, payload.copy()));
            }
            if (faults.invent) {
                faults.invent = false;
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
            links.add(this);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message)
                throws MalformedMessageException {
            Frame frame = (Frame) message;
            if (greeted) {
                note(frame);
            }
            if (faults.paused) {
                inbox.add(frame);
                return;
            }
            handle(frame);
        }

        /** What passed is noted when it came, though the node may stand still. */
        private void note(Frame frame) throws MalformedMessageException {
            if (frame.type() == StoreMessages.SEND) {
                StoreMessages.Send send =
                        StoreMessages.send(
                                new Frame(
                                        frame.type(),
                                        frame.id(),
                                        frame.head().duplicate(),
                                        frame.payload()));
                open.put(frame.id(), send);
                recorder.attemptCame(profile.id(), gateway, send, System.nanoTime());
            } else if (frame.type() == StoreMessages.CANCEL) {
                StoreMessages.Send send = open.remove(frame.id());
                if (send != null) {
                    recorder.calledOff(
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
                    told(frame);
                }
            } finally {
                frame.release();
            }
        }

        void wake() {
            for (Frame frame = inbox.poll(); frame != null; frame = inbox.poll()) {
                try {
                    handle(frame);
                } catch (MalformedMessageException bad) {
                    channel.close();
                }
            }
        }

        private void told(Frame frame) throws MalformedMessageException {
            if (!greeted && frame.type() != StoreMessages.HELLO) {
                throw new MalformedMessageException(
                        "message " + frame.type() + " before the hello");
            }
            switch (frame.type()) {
                case StoreMessages.HELLO -> hello(StoreMessages.hello(frame));
                case StoreMessages.SEND -> {
                    StoreMessages.Send send = StoreMessages.send(frame);
                    take(new Work(this, frame.id(), send, frame.payload().retain()));
                }
                case StoreMessages.CANCEL -> callOff(frame.id());
                case StoreMessages.HEALTH_CHECK -> {
                    if (!faults.silent) {
                        channel.writeAndFlush(
                                StoreMessages.healthReport(frame.id(), new float[] {queue.size()}));
                    }
                }
                case StoreMessages.ACQUIRE_WRITE_TOKEN -> {
                    ByteBuf head = FrameFields.requireHead(frame, 12);
                    takePen(
                            new PenKey(head.readInt(), head.readLong()),
                            new PenCall(this, frame.id()));
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
            for (Link older : List.copyOf(links)) {
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
                                    startedWall)));
        }

        private void callOff(long attempt) {
            for (Iterator<Work> at = queue.iterator(); at.hasNext(); ) {
                Work work = at.next();
                if (work.link == this && work.attempt == attempt) {
                    at.remove();
                    work.calledOff = true;
                    work.payload.release();
                    answer(work, StoreMessages.Code.CANCELLED, Unpooled.EMPTY_BUFFER);
                    return;
                }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            links.remove(this);
            inbox.forEach(Frame::release);
            inbox.clear();
            pens.values().removeIf(pen -> pen.holder == this && pen.next.isEmpty());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
