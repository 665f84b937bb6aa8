package sagepulley.faultinjection;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients of one gateway. Each sends one request after another, on one connection for as long as
 * that stays open, and runs on its own thread.
 */
final class ClientLoad implements Closeable {
    /**
     * Client behaviour: the mean pause between requests, the longest deadline, and the share of
     * requests, 0 to 1, whose client disconnects before the answer.
     */
    record ClientBehaviour(long pauseMillis, long maxDeadlineMillis, double disconnectingShare) {
        static final ClientBehaviour STEADY = new ClientBehaviour(40, 1_500, 0);
    }

    private static final long ANSWER_SLACK_MILLIS = 1_500;
    private static final long RECONNECT_DELAY_MILLIS = 50;
    private static final long MAX_DISCONNECT_DELAY_MILLIS = 30;
    private static final AtomicLong NEXT_ID = new AtomicLong(1);

    final Queue<Request> requests = new ConcurrentLinkedQueue<>();
    private final int gateway;
    private final InetSocketAddress address;
    private final int shards;
    private final ClientBehaviour behaviour;
    private volatile boolean stopped;

    /** Clients without a connection open none while this is set. */
    private volatile boolean newConnectionsSuspended;

    ClientLoad(
            int gateway,
            InetSocketAddress address,
            int shards,
            int clients,
            ClientBehaviour behaviour,
            long seed) {
        this.gateway = gateway;
        this.address = address;
        this.shards = shards;
        this.behaviour = behaviour;
        for (int i = 0; i < clients; i++) {
            Random random = new Random(seed * 1_000 + i);
            BackgroundTasks.run("client", () -> runClient(random));
        }
    }

    private void runClient(Random random) throws InterruptedException {
        while (!stopped) {
            if (newConnectionsSuspended) {
                Thread.sleep(RECONNECT_DELAY_MILLIS);
                continue;
            }
            try (Socket socket = new Socket()) {
                socket.connect(address, 1_000);
                RespPeer peer = new RespPeer(socket);
                for (int answered = 0; !stopped && sendOne(peer, random, answered); answered++) {
                    Thread.sleep((long) (behaviour.pauseMillis() * (0.5 + random.nextDouble())));
                }
            } catch (IOException connectFailed) {
                Thread.sleep(RECONNECT_DELAY_MILLIS);
            }
        }
    }

    /**
     * Sends one request and waits for its answer; returns whether the connection can be used again.
     */
    private boolean sendOne(RespPeer peer, Random random, int answered)
            throws InterruptedException {
        boolean writes = random.nextInt(4) == 0;
        long deadline =
                behaviour.maxDeadlineMillis()
                        - random.nextInt((int) (behaviour.maxDeadlineMillis() / 2));
        Request request =
                new Request(
                        String.format("%016x", NEXT_ID.getAndIncrement()),
                        gateway,
                        random.nextInt(shards),
                        deadline,
                        !writes);
        request.answeredBeforeOnConnection = answered;
        boolean disconnects = random.nextDouble() < behaviour.disconnectingShare();
        try {
            peer.socket.setSoTimeout((int) (deadline + ANSWER_SLACK_MILLIS));
            request.sentAt = System.nanoTime();
            peer.send(commandText(request));
            requests.add(request);
            if (disconnects) {
                Thread.sleep(random.nextInt((int) MAX_DISCONNECT_DELAY_MILLIS));
                request.endedAt = System.nanoTime();
                request.end = Request.End.CANCELLED;
                return false;
            }
            String answer = peer.readAnswer();
            request.endedAt = System.nanoTime();
            request.end = endOf(request, answer);
            return answer != null;
        } catch (SocketTimeoutException timeout) {
            request.endedAt = System.nanoTime();
            request.end = Request.End.SILENT;
        } catch (IOException connectionReset) {
            request.endedAt = System.nanoTime();
            request.end = Request.End.CLOSED;
        }
        return false;
    }

    private static Request.End endOf(Request request, String answer) {
        if (answer == null) {
            return Request.End.CLOSED;
        }
        if (answer.startsWith("$")) {
            return answer.equals("$" + request.id) ? Request.End.SERVED : Request.End.WRONG_VALUE;
        }
        return answer.startsWith("-BUSY") ? Request.End.REJECTED : Request.End.FAILED;
    }

    private static String commandText(Request request) {
        String fields =
                "c="
                        + (request.idempotent ? "get" : "put")
                        + ",t=any,d="
                        + request.deadlineMillis
                        + ",volume=00000000000000"
                        + String.format("%02x", request.shard % 16)
                        + ",units=1,shard="
                        + request.shard
                        + ",hosts=1";
        String extent = String.format("%016x", 1 + request.shard);
        return request.idempotent
                ? RespPeer.command("BLK.READ", extent, request.id, fields)
                : RespPeer.command("BLK.WRITE", extent, request.id, fields, "bytes");
    }

    /**
     * Sets whether clients without a connection stop opening new ones, as clients do soon after
     * their gateway is sent SIGTERM.
     */
    void suspendNewConnections(boolean suspended) {
        newConnectionsSuspended = suspended;
    }

    /** Stops sending requests and waits for the answers that are due. */
    void stop() throws InterruptedException {
        stopped = true;
        long until =
                System.nanoTime()
                        + TimeUnit.MILLISECONDS.toNanos(
                                behaviour.maxDeadlineMillis() + ANSWER_SLACK_MILLIS + 500);
        while (requests.stream().anyMatch(request -> request.end == null)
                && System.nanoTime() < until) {
            Thread.sleep(20);
        }
    }

    @Override
    public void close() {
        stopped = true;
    }
}
