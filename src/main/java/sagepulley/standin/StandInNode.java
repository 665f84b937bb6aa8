package sagepulley.standin;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import sagepulley.codec.frame.Frame;
import sagepulley.model.TrafficClass;
import sagepulley.upstream.frame.StoreMessages;

/**
 * A small storage node with slots, a queue, a slow start during which overload makes it collapse,
 * partly deferred writes, and injectable faults.
 *
 * <p>Runs on one loop and meets the duties of a node in docs/protocols.md: one answer for each
 * attempt, write tokens, one session for each gateway, and no second execution of retries where a
 * traffic class is deduplicated.
 */
public final class StandInNode {
    private static final double NANOS_PER_MILLI = 1e6;

    private final NodeProfile profile;
    private final TrafficRecorder recorder;
    private final EventLoop loop;
    private final Random random;
    private final BlockStore blockStore;
    private final FrameServer server;
    private final WriteTokens writeTokens;
    private final SlowStart slowStart;
    private final ServiceTime serviceTime;
    private final Faults faults = new Faults();
    private final ExecutedOperations executedOperations = new ExecutedOperations();
    private final List<GatewaySession> sessions = new ArrayList<>();
    private final Queue<PendingAttempt> queue = new ArrayDeque<>();

    /** Units served for all gateways, by volume. */
    private final Map<Integer, Double> servedUnits = new HashMap<>();

    private int busySlots;
    private boolean draining;
    private boolean collapsed;

    /** Set once a power failure has lost unflushed writes. */
    private boolean lostData;

    private long startedAtWallMillis;

    /**
     * Incremented on each start and shutdown, so that work of an earlier run does not complete in a
     * later one.
     */
    private int incarnation;

    /**
     * Creates a node on a loop of the group; the seed selects which operations and answers meet a
     * fault of a random share.
     */
    public StandInNode(
            NodeProfile profile, EventLoopGroup group, TrafficRecorder recorder, long seed) {
        this.profile = profile;
        this.recorder = recorder;
        this.loop = group.next();
        this.random = new Random(seed);
        this.blockStore = new BlockStore(profile.extentBytes(), profile.dataFolder());
        this.server = new FrameServer(loop, profile.extentBytes(), this::newSession);
        this.writeTokens = new WriteTokens(loop);
        this.slowStart = new SlowStart(profile);
        this.serviceTime = new ServiceTime(profile);
    }

    /** Returns the node's profile. */
    public NodeProfile profile() {
        return profile;
    }

    /** Returns the fault settings, which may be changed on any thread. */
    public Faults faults() {
        return faults;
    }

    /** Returns the address it listens on or last listened on; null before the first start. */
    public InetSocketAddress address() {
        return server.address();
    }

    /** Returns the wall-clock time of the last start in milliseconds; 0 if it started warm. */
    public long startedAt() {
        return startedAtWallMillis;
    }

    /**
     * Returns whether the node has collapsed under overload in its slow start since its last start.
     */
    public boolean hasCollapsed() {
        return collapsed;
    }

    /** Returns whether a power failure would lose writes. */
    public CompletableFuture<Boolean> hasUnflushedWrites() {
        return CompletableFuture.supplyAsync(blockStore::hasUnflushedWrites, loop);
    }

    // ---- lifecycle ----

    /** Starts to listen at an address, with full capacity. */
    public CompletableFuture<StandInNode> start(InetSocketAddress at) {
        return listen(at, true);
    }

    /**
     * Closes every connection and drops all work, as a crash does. The node stays down until it is
     * restarted.
     */
    public CompletableFuture<Void> stop() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        loop.execute(
                () -> {
                    shutDown();
                    blockStore.close();
                    stopped.complete(null);
                });
        return stopped;
    }

    /** Stops, then listens again at the same address, at the beginning of its slow start. */
    public CompletableFuture<StandInNode> restartCold() {
        InetSocketAddress at = address();
        return stop().thenCompose(done -> listen(at, false));
    }

    /**
     * Loses the unflushed writes of data in memory, then listens again at the same address, at the
     * beginning of its slow start. Data in files is kept.
     */
    public CompletableFuture<StandInNode> failPower() {
        InetSocketAddress at = address();
        CompletableFuture<Void> down = new CompletableFuture<>();
        loop.execute(
                () -> {
                    shutDown();
                    lostData |= blockStore.failPower();
                    down.complete(null);
                });
        return down.thenCompose(done -> listen(at, false));
    }

    /** Rejects new attempts from now on and notifies the connected gateways. */
    public void drain() {
        loop.execute(
                () -> {
                    draining = true;
                    if (!faults.unresponsive) {
                        sessions.forEach(
                                session -> session.send(new Frame(StoreMessages.DRAINING, 0)));
                    }
                });
    }

    /** Closes every connection. */
    public void closeConnections() {
        loop.execute(this::closeSessions);
    }

    /**
     * Pauses or resumes the node. While paused, it queues received messages and starts no attempt.
     */
    public void pause(boolean paused) {
        faults.paused = paused;
        loop.execute(
                () -> {
                    if (!faults.paused) {
                        List.copyOf(sessions).forEach(GatewaySession::handleDeferredFrames);
                        startQueuedAttempts();
                    }
                });
    }

    private CompletableFuture<StandInNode> listen(InetSocketAddress at, boolean warm) {
        CompletableFuture<StandInNode> ready = new CompletableFuture<>();
        loop.execute(
                () -> {
                    incarnation++;
                    collapsed = false;
                    startedAtWallMillis = warm ? 0 : System.currentTimeMillis();
                    slowStart.begin(warm);
                    server.listen(at)
                            .whenComplete(
                                    (address, failure) -> {
                                        if (failure != null) {
                                            ready.completeExceptionally(failure);
                                            return;
                                        }
                                        recorder.nodeStarted(
                                                profile.id(),
                                                warm ? Double.NaN : profile.unitsPerSecond(),
                                                System.nanoTime());
                                        ready.complete(this);
                                    });
                });
        return ready;
    }

    private Optional<ChannelHandler> newSession(Channel channel) {
        if (faults.unreachable) {
            return Optional.empty();
        }
        return Optional.of(
                new GatewaySession(channel, profile.id(), faults, recorder, new SessionListener()));
    }

    private void shutDown() {
        incarnation++;
        server.close();
        closeSessions();
        queue.forEach(attempt -> attempt.payload.release());
        queue.clear();
        writeTokens.clear();
        busySlots = 0;
        serviceTime.reset();
    }

    private void closeSessions() {
        List.copyOf(sessions).forEach(GatewaySession::close);
    }

    // ---- attempts ----

    private void admit(PendingAttempt attempt) {
        if (slowStart.causesCollapse(attempt.send.units())) {
            collapsed = true;
            attempt.payload.release();
            recorder.nodeCollapsed(profile.id(), System.nanoTime());
            shutDown();
            return;
        }
        Optional<StoreMessages.Code> rejectionCode = rejectionCode(attempt);
        if (rejectionCode.isPresent()) {
            attempt.payload.release();
            answer(attempt, rejectionCode.get(), Unpooled.EMPTY_BUFFER);
            return;
        }
        queue.add(attempt);
        startQueuedAttempts();
    }

    private Optional<StoreMessages.Code> rejectionCode(PendingAttempt attempt) {
        StoreMessages.Send send = attempt.send;
        if (draining) {
            return Optional.of(StoreMessages.Code.DRAINING);
        }
        if (faults.rejecting || queue.size() >= profile.queueLimit()) {
            return Optional.of(StoreMessages.Code.FULL);
        }
        if (send.extentMustExist() && !blockStore.contains(send.volume(), send.extent())) {
            return Optional.of(StoreMessages.Code.NOT_EXECUTED);
        }
        if (lacksWriteToken(attempt)) {
            return Optional.of(StoreMessages.Code.STALE_WRITE_TOKEN);
        }
        return Optional.empty();
    }

    private boolean lacksWriteToken(PendingAttempt attempt) {
        ExtentKey extent = new ExtentKey(attempt.send.volume(), attempt.send.extent());
        return attempt.send.kind().modifiesData() && !writeTokens.isHeldBy(attempt.session, extent);
    }

    private void startQueuedAttempts() {
        while (busySlots < profile.slots() && !queue.isEmpty() && !faults.paused) {
            PendingAttempt attempt = queue.poll();
            if (attempt.cancelled || !attempt.session.isActive()) {
                attempt.payload.release();
                answer(attempt, StoreMessages.Code.CANCELLED, Unpooled.EMPTY_BUFFER);
                continue;
            }
            // Attempts start in order of arrival and take effect at their start, so an earlier
            // write cannot overwrite a later one.
            startAttempt(attempt);
        }
    }

    private void startAttempt(PendingAttempt attempt) {
        attempt.startedAtNanos = System.nanoTime();
        if (lacksWriteToken(attempt)) {
            attempt.payload.release();
            answer(attempt, StoreMessages.Code.STALE_WRITE_TOKEN, Unpooled.EMPTY_BUFFER);
            return;
        }
        StoreMessages.Code code = StoreMessages.Code.SERVED;
        ByteBuf result = Unpooled.EMPTY_BUFFER;
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
            countServed(attempt);
        }
        answerAfterServiceTime(attempt, code, result);
    }

    private void countServed(PendingAttempt attempt) {
        int volume = attempt.send.volume();
        double units = attempt.send.units();
        servedUnits.merge(volume, units, Double::sum);
        attempt.session.countServed(volume, units);
    }

    /** Answers after the attempt's service time, unless the node goes down before. */
    private void answerAfterServiceTime(
            PendingAttempt attempt, StoreMessages.Code code, ByteBuf result) {
        double millis =
                serviceTime.millis(attempt.send)
                        * faults.slowdownFactor
                        / slowStart.capacityShare();
        if (millis <= 0) {
            answer(attempt, code, result);
            return;
        }
        busySlots++;
        int startIncarnation = incarnation;
        loop.schedule(
                () -> {
                    if (incarnation != startIncarnation) {
                        result.release();
                        return;
                    }
                    busySlots--;
                    answer(attempt, code, result);
                    startQueuedAttempts();
                },
                (long) (millis * NANOS_PER_MILLI),
                TimeUnit.NANOSECONDS);
    }

    private ByteBuf execute(PendingAttempt attempt) throws IOException {
        StoreMessages.Send send = attempt.send;
        if (send.offset() + send.length() > profile.extentBytes()) {
            throw new IOException(
                    "extent "
                            + send.extent()
                            + " of volume "
                            + send.volume()
                            + " ends before "
                            + (send.offset() + send.length()));
        }
        long gateway = attempt.session.gateway();
        if (send.idempotency() == TrafficClass.Idempotency.DEDUPLICATED.ordinal()
                && !executedOperations.add(gateway, send.operationId())) {
            return Unpooled.EMPTY_BUFFER;
        }
        recorder.operationExecuted(profile.id(), gateway, send, System.nanoTime());
        switch (send.kind()) {
            case READ -> {
                ByteBuf into = attempt.session.allocate(Math.max(1, send.length()));
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
            case FLUSH -> flush(send);
        }
        return Unpooled.EMPTY_BUFFER;
    }

    private void flush(StoreMessages.Send send) throws IOException {
        // A power failure has lost unflushed writes that an earlier run acknowledged.
        if (lostData && send.expectedNodeStart() != startedAtWallMillis) {
            throw new IOException("writes before the start were lost");
        }
        blockStore.flush(send.volume());
    }

    private void answer(PendingAttempt attempt, StoreMessages.Code code, ByteBuf payload) {
        GatewaySession session = attempt.session;
        StoreMessages.Send send = attempt.send;
        boolean lost =
                faults.unresponsive
                        || (faults.lostAnswerShare > 0
                                && random.nextDouble() < faults.lostAnswerShare);
        recorder.attemptAnswered(
                profile.id(),
                session.gateway(),
                send.operationId(),
                send.attemptNumber(),
                code,
                lost,
                System.nanoTime());
        if (lost || !session.isActive()) {
            payload.release();
            return;
        }
        double served = servedUnits.getOrDefault(send.volume(), 0.0);
        long now = System.nanoTime();
        long started = attempt.startedAtNanos == 0 ? now : attempt.startedAtNanos;
        session.answer(
                attempt.id,
                new StoreMessages.Answer(
                        code,
                        0,
                        session.otherUnitsSinceLastAnswer(send.volume(), served),
                        (started - attempt.receivedAtNanos) / (float) NANOS_PER_MILLI,
                        (now - started) / (float) NANOS_PER_MILLI,
                        loadReport()),
                payload);
    }

    private float[] loadReport() {
        return new float[] {queue.size()};
    }

    private StoreMessages.HandshakeReply handshakeReply() {
        return new StoreMessages.HandshakeReply(
                profile.id(),
                profile.cell(),
                profile.zone(),
                profile.kind(),
                draining,
                startedAtWallMillis);
    }

    private final class SessionListener implements GatewaySession.Listener {
        @Override
        public void sessionOpened(GatewaySession session) {
            sessions.add(session);
        }

        @Override
        public void helloReceived(GatewaySession session) {
            // Closes an older session of the same gateway first, so that its queued attempts are
            // not executed.
            for (GatewaySession older : List.copyOf(sessions)) {
                if (older != session && older.gateway() == session.gateway()) {
                    older.close();
                }
            }
            session.send(StoreMessages.handshakeReply(handshakeReply()));
        }

        @Override
        public void attemptReceived(PendingAttempt attempt) {
            admit(attempt);
        }

        @Override
        public void attemptCancelled(GatewaySession session, long attemptId) {
            for (Iterator<PendingAttempt> waiting = queue.iterator(); waiting.hasNext(); ) {
                PendingAttempt attempt = waiting.next();
                if (attempt.session == session && attempt.id == attemptId) {
                    waiting.remove();
                    attempt.cancelled = true;
                    attempt.payload.release();
                    answer(attempt, StoreMessages.Code.CANCELLED, Unpooled.EMPTY_BUFFER);
                    return;
                }
            }
        }

        @Override
        public void healthCheckReceived(GatewaySession session, long id) {
            if (!faults.unresponsive) {
                session.send(StoreMessages.healthReport(id, loadReport()));
            }
        }

        @Override
        public void writeTokenRequested(GatewaySession session, ExtentKey extent, long requestId) {
            writeTokens.request(session, extent, requestId);
        }

        @Override
        public void sessionClosed(GatewaySession session) {
            sessions.remove(session);
            writeTokens.release(session);
        }
    }
}
