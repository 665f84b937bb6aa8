package sagepulley.scenario;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import sagepulley.codec.frame.EventLoops;
import sagepulley.codec.nbd.NbdClient;
import sagepulley.codec.nbd.NbdConstants;
import sagepulley.codec.nbd.NbdReply;
import sagepulley.config.SiteConfig;
import sagepulley.config.VolumeSettings;
import sagepulley.upstream.frame.StoreMessages;

/**
 * Sends the requests of one load of a scenario at Poisson arrivals, independent of the answers.
 * Connections that end are reopened. Sends on one event loop.
 */
final class LoadGenerator {
    private static final long RECONNECT_DELAY_MILLIS = 50;

    /** A gateway as clients see it. The address is null while the gateway is down. */
    static final class GatewayTarget {
        volatile InetSocketAddress address;
        volatile long gateway;
    }

    private static final class ClientConnection {
        final GatewayTarget target;
        NbdClient client;
        long gateway;

        ClientConnection(GatewayTarget target) {
            this.target = target;
        }
    }

    private final Scenario.Load load;
    private final SiteConfig site;
    private final VolumeSettings volume;
    private final SocketEventLog eventLog;
    private final BlockHistory history;
    private final EventLoopGroup group;
    private final EventLoop loop;
    private final Random random;
    private final List<ClientConnection> connections = new ArrayList<>();
    private final AtomicLong openRequests = new AtomicLong();
    private volatile double rateFactor = 1;
    private volatile boolean stopped;
    private long nextRequestAtNanos;

    LoadGenerator(
            Scenario.Load load,
            SiteConfig site,
            VolumeSettings volume,
            List<GatewayTarget> targets,
            SocketEventLog eventLog,
            BlockHistory history,
            EventLoopGroup group,
            long seed) {
        this.load = load;
        this.site = site;
        this.volume = volume;
        this.eventLog = eventLog;
        this.history = history;
        this.group = group;
        this.loop = group.next();
        this.random = new Random(seed);
        for (int i = 0; i < Math.min(volume.gateways(), targets.size()); i++) {
            if (load.gateway() != 0 && load.gateway() != i + 1) {
                continue;
            }
            for (int k = 0; k < load.connections(); k++) {
                connections.add(new ClientConnection(targets.get(i)));
            }
        }
    }

    Scenario.Load load() {
        return load;
    }

    void setRateFactor(double factor) {
        rateFactor = factor;
    }

    /** Returns the number of requests that were neither answered nor failed yet. */
    long openRequests() {
        return openRequests.get();
    }

    void start(long scenarioStartNanos) {
        loop.execute(
                () -> {
                    connections.forEach(this::connect);
                    nextRequestAtNanos = scenarioStartNanos + (long) (load.fromMillis() * 1e6);
                    scheduleNext(scenarioStartNanos + (long) (load.toMillis() * 1e6));
                });
    }

    void stop() {
        stopped = true;
    }

    void close() {
        stopped = true;
        loop.execute(
                () ->
                        connections.forEach(
                                connection -> {
                                    if (connection.client != null) {
                                        connection.client.channel().close();
                                    }
                                }));
    }

    private void connect(ClientConnection connection) {
        InetSocketAddress address = connection.target.address;
        long gateway = connection.target.gateway;
        if (stopped) {
            return;
        }
        if (address == null) {
            loop.schedule(() -> connect(connection), RECONNECT_DELAY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        NbdClient.open(group, EventLoops.socket(), address, volume.name(), NbdClient.Style.GO)
                .whenComplete(
                        (client, failure) ->
                                loop.execute(
                                        () -> {
                                            if (failure != null) {
                                                loop.schedule(
                                                        () -> connect(connection),
                                                        RECONNECT_DELAY_MILLIS,
                                                        TimeUnit.MILLISECONDS);
                                                return;
                                            }
                                            connection.client = client;
                                            connection.gateway = gateway;
                                            client.closed()
                                                    .thenRun(
                                                            () ->
                                                                    loop.execute(
                                                                            () -> {
                                                                                connection.client =
                                                                                        null;
                                                                                connect(connection);
                                                                            }));
                                        }));
    }

    private void scheduleNext(long endNanos) {
        if (stopped || nextRequestAtNanos >= endNanos) {
            return;
        }
        long delayNanos = Math.max(0, nextRequestAtNanos - System.nanoTime());
        loop.schedule(
                () -> {
                    while (!stopped
                            && nextRequestAtNanos <= System.nanoTime()
                            && nextRequestAtNanos < endNanos) {
                        if (rateFactor > 0) {
                            sendRequest();
                        }
                        double gapSeconds =
                                -Math.log(1 - random.nextDouble())
                                        / (load.requestsPerSecond() * Math.max(rateFactor, 0.01));
                        nextRequestAtNanos += (long) (gapSeconds * 1e9);
                    }
                    scheduleNext(endNanos);
                },
                delayNanos,
                TimeUnit.NANOSECONDS);
    }

    private void sendRequest() {
        List<ClientConnection> connected =
                connections.stream().filter(connection -> connection.client != null).toList();
        if (connected.isEmpty()) {
            return;
        }
        ClientConnection connection = connected.get(random.nextInt(connected.size()));
        long extents = Math.min(load.extents(), volume.sizeBytes() / site.extentBytes());
        long positions = Math.max(1, extents * site.extentBytes() / load.bytes());
        long offset = random.nextLong(positions) * load.bytes();
        if (random.nextDouble() < load.readShare()) {
            sendRead(connection, offset);
        } else {
            sendWrite(connection, offset);
        }
    }

    private void sendRead(ClientConnection connection, long offset) {
        int trafficClass =
                load.bytes() >= volume.bulkThresholdBytes()
                        ? volume.bulkTrafficClass()
                        : volume.readTrafficClass();
        SocketEventLog.ClientRequest request =
                recordRequest(connection, StoreMessages.Kind.READ, trafficClass, offset);
        connection.client.request(
                NbdConstants.CMD_READ,
                0,
                offset,
                load.bytes(),
                Unpooled.EMPTY_BUFFER,
                (reply, failure) -> {
                    recordAnswer(request, reply, failure);
                    if (failure == null) {
                        checkData(request, reply);
                        reply.release();
                    }
                    openRequests.decrementAndGet();
                });
    }

    private void sendWrite(ClientConnection connection, long offset) {
        SocketEventLog.ClientRequest request =
                recordRequest(
                        connection, StoreMessages.Kind.WRITE, volume.writeTrafficClass(), offset);
        BlockHistory.Write write = history.begin(volume.id(), offset, load.bytes(), request.sentAt);
        connection.client.request(
                NbdConstants.CMD_WRITE,
                0,
                offset,
                load.bytes(),
                BlockHistory.payload(connection.client.channel().alloc(), write, load.bytes()),
                (reply, failure) -> {
                    recordAnswer(request, reply, failure);
                    if (failure == null) {
                        reply.release();
                    }
                    write.complete(request.endedAt, failure == null && reply.error == 0);
                    openRequests.decrementAndGet();
                });
    }

    private SocketEventLog.ClientRequest recordRequest(
            ClientConnection connection, StoreMessages.Kind kind, int trafficClass, long offset) {
        openRequests.incrementAndGet();
        return eventLog.requestSent(
                connection.gateway,
                volume.id(),
                kind,
                trafficClass,
                offset,
                load.bytes(),
                System.nanoTime());
    }

    /** Records the outcome of a request. The reply is null if the connection was lost. */
    private static void recordAnswer(
            SocketEventLog.ClientRequest request, NbdReply reply, Throwable failure) {
        request.endedAt = System.nanoTime();
        if (failure != null) {
            request.connectionLost = true;
        } else {
            request.replies++;
            request.error = reply.error;
        }
    }

    private void checkData(SocketEventLog.ClientRequest request, NbdReply reply) {
        if (reply.error != 0) {
            return;
        }
        ByteBuf data = reply.data();
        history.check(volume.id(), request.offset, data, request.sentAt, request.endedAt);
        data.release();
    }
}
