package sagepulley.scenario;

import io.netty.buffer.Unpooled;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongConsumer;
import sagepulley.codec.nbd.NbdClient;
import sagepulley.codec.nbd.NbdConstants;
import sagepulley.codec.nbd.NbdReply;

/**
 * Sends reads of random extents to all gateways of a cold start, at Poisson arrivals, and counts
 * the replies. One thread sends; replies arrive on the event loops of the clients. Times are
 * System.nanoTime.
 */
final class ColdStartReadLoad {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int READ_BYTES = 4096;
    private static final long REPLY_POLL_NANOS = 1_000_000;
    private static final long REPLY_TIMEOUT_SECONDS = 10;

    private final double requestsPerSecond;
    private final int extents;
    private final int extentBytes;
    private final double objectiveNanos;
    private final LongConsumer sleepUntil;
    private final SplittableRandom random;
    private final AtomicLong firstServedAt = new AtomicLong();
    private final AtomicLong withinObjective = new AtomicLong();
    private final AtomicLong inFlight = new AtomicLong();
    private long requests;

    ColdStartReadLoad(
            double requestsPerSecond,
            int extents,
            int extentBytes,
            double objectiveNanos,
            LongConsumer sleepUntil,
            long seed) {
        this.requestsPerSecond = requestsPerSecond;
        this.extents = extents;
        this.extentBytes = extentBytes;
        this.objectiveNanos = objectiveNanos;
        this.sleepUntil = sleepUntil;
        this.random = new SplittableRandom(seed);
    }

    /** Sends reads for a duration. Without clients, each read counts as not served. */
    void send(List<NbdClient> clients, long durationMillis) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(durationMillis);
        for (long nextAtNanos = System.nanoTime();
                nextAtNanos < end;
                nextAtNanos += nextGapNanos()) {
            sleepUntil.accept(nextAtNanos);
            long extent = random.nextInt(extents);
            requests++;
            if (!clients.isEmpty()) {
                read(clients.get(random.nextInt(clients.size())), extent);
            }
        }
    }

    private long nextGapNanos() {
        return (long) (-Math.log(1 - random.nextDouble()) / requestsPerSecond * NANOS_PER_SECOND);
    }

    private void read(NbdClient client, long extent) {
        long sentAt = System.nanoTime();
        inFlight.incrementAndGet();
        client.request(
                NbdConstants.CMD_READ,
                0,
                extent * extentBytes,
                READ_BYTES,
                Unpooled.EMPTY_BUFFER,
                (reply, failure) -> recordReply(reply, failure, sentAt));
    }

    private void recordReply(NbdReply reply, Throwable failure, long sentAt) {
        long now = System.nanoTime();
        if (failure == null && reply.error == 0) {
            firstServedAt.compareAndSet(0, now);
            withinObjective.addAndGet(now - sentAt <= objectiveNanos ? 1 : 0);
        }
        if (reply != null) {
            reply.release();
        }
        inFlight.decrementAndGet();
    }

    /** Waits until every request has a reply, at most 10 s. */
    void awaitReplies() {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(REPLY_TIMEOUT_SECONDS);
        while (inFlight.get() > 0 && System.nanoTime() < deadlineNanos) {
            sleepUntil.accept(System.nanoTime() + REPLY_POLL_NANOS);
        }
    }

    /** Returns the time at which the first read was served, or 0 if none was. */
    long firstServedAt() {
        return firstServedAt.get();
    }

    /** Returns the share of all requests that were served within the latency objective. */
    double service() {
        return (double) withinObjective.get() / Math.max(1, requests);
    }
}
