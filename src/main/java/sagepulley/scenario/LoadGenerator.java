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
import sagepulley.config.SiteConfig;
import sagepulley.config.VolumeSettings;
import sagepulley.upstream.frame.StoreMessages;

/**
 * One load of a day: requests at times of their own, over connections that come back after a cut.
 */
final class LoadGenerator {
    private static final long AGAIN_MS = 50;

    /** A gateway that may be reached, or not just now. */
    static final class Door {
        volatile InetSocketAddress address;
        volatile long gateway;
    }

    private static final class Wire {
        final Door door;
        NbdClient client;
        long gateway;

        Wire(Door door) {
            this.door = door;
        }
    }

    private final Scenario.Load load;
    private final SiteConfig site;
    private final VolumeSettings volume;
    private final SocketEventLog eventLog;
    private final BlockHistory history;
    private final EventLoopGroup group;
    private final EventLoop loop;
    private final Random chance;
    private final List<Wire> wires = new ArrayList<>();
    private final AtomicLong open = new AtomicLong();
    private volatile double factor = 1;
    private volatile boolean stopped;
    private long nextAt;

    LoadGenerator(
            Scenario.Load load,
            SiteConfig site,
            VolumeSettings volume,
            List<Door> doors,
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
        this.chance = new Random(seed);
        for (int i = 0; i < Math.min(volume.gateways(), doors.size()); i++) {
            if (load.through() != 0 && load.through() != i + 1) {
                continue;
            }
            for (int k = 0; k < load.connections(); k++) {
                wires.add(new Wire(doors.get(i)));
            }
        }
    }

    Scenario.Load load() {
        return load;
    }

    void surge(double times) {
        factor = times;
    }

    /** Requests without an end. */
    long open() {
        return open.get();
    }

    void start(long dayStart) {
        loop.execute(
                () -> {
                    wires.forEach(this::connect);
                    nextAt = dayStart + (long) (load.from() * 1e6);
                    plan(dayStart + (long) (load.to() * 1e6));
                });
    }

    void stop() {
        stopped = true;
    }

    void close() {
        stopped = true;
        loop.execute(
                () ->
                        wires.forEach(
                                wire -> {
                                    if (wire.client != null) {
                                        wire.client.channel().close();
                                    }
                                }));
    }

    private void connect(Wire wire) {
        InetSocketAddress address = wire.door.address;
        long gateway = wire.door.gateway;
        if (stopped) {
            return;
        }
        if (address == null) {
            loop.schedule(() -> connect(wire), AGAIN_MS, TimeUnit.MILLISECONDS);
            return;
        }
        NbdClient.open(group, EventLoops.socket(), address, volume.name(), NbdClient.Style.GO)
                .whenComplete(
                        (client, failure) ->
                                loop.execute(
                                        () -> {
                                            if (failure != null) {
                                                loop.schedule(
                                                        () -> connect(wire),
                                                        AGAIN_MS,
                                                        TimeUnit.MILLISECONDS);
                                                return;
                                            }
                                            wire.client = client;
                                            wire.gateway = gateway;
                                            client.closed()
                                                    .thenRun(
                                                            () ->
                                                                    loop.execute(
                                                                            () -> {
                                                                                wire.client = null;
                                                                                connect(wire);
                                                                            }));
                                        }));
    }

    private void plan(long end) {
        if (stopped || nextAt >= end) {
            return;
        }
        long wait = Math.max(0, nextAt - System.nanoTime());
        loop.schedule(
                () -> {
                    while (!stopped && nextAt <= System.nanoTime() && nextAt < end) {
                        if (factor > 0) {
                            ask();
                        }
                        double gap =
                                -Math.log(1 - chance.nextDouble())
                                        / (load.perSecond() * Math.max(factor, 0.01));
                        nextAt += (long) (gap * 1e9);
                    }
                    plan(end);
                },
                wait,
                TimeUnit.NANOSECONDS);
    }

    private void ask() {
        List<Wire> up = wires.stream().filter(wire -> wire.client != null).toList();
        if (up.isEmpty()) {
            return;
        }
        Wire wire = up.get(chance.nextInt(up.size()));
        long extents = Math.min(load.extents(), volume.sizeBytes() / site.extentBytes());
        long places = Math.max(1, extents * site.extentBytes() / load.bytes());
        long offset = chance.nextLong(places) * load.bytes();
        boolean reads = chance.nextDouble() < load.reads();
        StoreMessages.Kind kind = reads ? StoreMessages.Kind.READ : StoreMessages.Kind.WRITE;
        int band =
                !reads
                        ? volume.writeTrafficClass()
                        : load.bytes() >= volume.bulkThresholdBytes()
                                ? volume.bulkTrafficClass()
                                : volume.readTrafficClass();
        long now = System.nanoTime();
        SocketEventLog.Asked asked =
                eventLog.asks(wire.gateway, volume.id(), kind, band, offset, load.bytes(), now);
        BlockHistory.Write write =
                reads ? null : history.begin(volume.id(), offset, load.bytes(), now);
        ByteBuf payload =
                reads
                        ? Unpooled.EMPTY_BUFFER
                        : BlockHistory.payload(wire.client.channel().alloc(), write, load.bytes());
        open.incrementAndGet();
        wire.client.request(
                reads ? NbdConstants.CMD_READ : NbdConstants.CMD_WRITE,
                0,
                offset,
                load.bytes(),
                payload,
                (reply, failure) -> {
                    long end = System.nanoTime();
                    asked.ended = end;
                    if (failure != null) {
                        asked.cut = true;
                    } else {
                        asked.replies++;
                        asked.error = reply.error;
                        if (reads && reply.error == 0) {
                            ByteBuf data = reply.data();
                            history.check(volume.id(), offset, data, now, end);
                            data.release();
                        }
                        reply.release();
                    }
                    if (write != null) {
                        write.ends(end, failure == null && reply.error == 0);
                    }
                    open.decrementAndGet();
                });
    }
}
