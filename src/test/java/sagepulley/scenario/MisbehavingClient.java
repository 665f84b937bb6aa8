package sagepulley.scenario;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import sagepulley.accounts.LatencyAccount;
import sagepulley.accounts.StoredAccounts;
import sagepulley.codec.frame.EventLoops;
import sagepulley.codec.nbd.AdmissionGate;
import sagepulley.codec.nbd.Export;
import sagepulley.codec.nbd.Exports;
import sagepulley.codec.nbd.NbdConstants;
import sagepulley.codec.nbd.NbdReplies;
import sagepulley.codec.nbd.NbdRequest;
import sagepulley.codec.nbd.NbdServer;
import sagepulley.config.SiteConfig;
import sagepulley.config.VolumeSettings;
import sagepulley.discovery.directory.DirectoryClient;
import sagepulley.discovery.directory.DirectoryMessages;
import sagepulley.persistence.GatewayAccounts;
import sagepulley.upstream.frame.NodeConnection;
import sagepulley.upstream.frame.StoreMessages;

/**
 * A gateway that heeds no rule: it sends everything on at once. The judge must see what it does.
 */
final class MisbehavingClient implements ScenarioRunner.Opener {
    /** What it does besides. */
    enum Way {
        PLAIN,
        LATE,
        AFTERWARDS,
        AT_ONCE_TWICE,
        THRICE,
        UNWRITTEN
    }

    private final Way way;

    MisbehavingClient(Way way) {
        this.way = way;
    }

    @Override
    public Opened open(SiteConfig site, long seed) {
        Running running = new Running(site, seed);
        return new Opened(
                running.address,
                running::kill,
                () ->
                        new GatewayAccounts(
                                "rogue",
                                0,
                                Map.of(),
                                Map.of(),
                                StoredAccounts.of(new LatencyAccount())));
    }

    private final class Running implements DirectoryClient.Listener, Exports, AdmissionGate {
        final SiteConfig site;
        final EventLoopGroup group = EventLoops.group(1, "rogue");
        final long seed;
        final Map<Integer, Peer> peers = new TreeMap<>();
        final CompletableFuture<Void> listed = new CompletableFuture<>();
        final DirectoryClient directory;
        final Channel listener;
        final InetSocketAddress address;
        long ids;

        Running(SiteConfig site, long seed) {
            this.site = site;
            this.seed = seed;
            directory =
                    new DirectoryClient(
                            group.next(),
                            EventLoops.socket(),
                            site.directory().socket(),
                            seed,
                            "rogue",
                            this);
            group.next().execute(directory::subscribe);
            LocalCluster.await(listed);
            listener =
                    new ServerBootstrap()
                            .group(group)
                            .channel(EventLoops.server())
                            .childHandler(
                                    new ChannelInitializer<Channel>() {
                                        @Override
                                        protected void initChannel(Channel client) {
                                            NbdServer.addTo(
                                                    client.pipeline(),
                                                    Running.this,
                                                    Running.this,
                                                    new Client(Running.this));
                                        }
                                    })
                            .bind(site.nbd().socket())
                            .syncUninterruptibly()
                            .channel();
            address = (InetSocketAddress) listener.localAddress();
        }

        void kill() {
            listener.close();
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }

        @Override
        public void endpointListReceived(DirectoryMessages.EndpointList listing) {
            for (DirectoryMessages.EndpointLine line : listing.lines()) {
                peers.computeIfAbsent(
                        line.node(),
                        node ->
                                new Peer(
                                        this,
                                        node,
                                        new InetSocketAddress(line.host(), line.port())));
            }
            listed.complete(null);
        }

        @Override
        public void endpointListFailed(String why) {}

        @Override
        public List<Export> all() {
            return site.volumes().stream().map(line -> findByName(line.name())).toList();
        }

        @Override
        public Export findByName(String name) {
            return site.volumes().stream()
                    .filter(line -> line.name().equals(name))
                    .findFirst()
                    .map(
                            line ->
                                    new Export(
                                            name,
                                            "",
                                            line.sizeBytes(),
                                            false,
                                            true,
                                            512,
                                            4096,
                                            1 << 20))
                    .orElse(null);
        }

        @Override
        public boolean admit(long bytes, Runnable later) {
            return true;
        }

        @Override
        public void release(long bytes) {}

        void later(double milliseconds, Runnable task) {
            group.next().schedule(task, (long) milliseconds, TimeUnit.MILLISECONDS);
        }
    }

    /** A node's link; ends are told to whoever sent. */
    private static final class Peer implements NodeConnection.Listener {
        final NodeConnection link;
        final Map<Long, java.util.function.Consumer<ByteBuf>> waiting = new HashMap<>();

        Peer(Running of, int node, InetSocketAddress address) {
            link =
                    new NodeConnection(
                            of.group.next(),
                            EventLoops.socket(),
                            1 << 20,
                            node,
                            address,
                            new StoreMessages.Hello(of.seed, "rogue"),
                            this);
        }

        @Override
        public void answered(long attempt, StoreMessages.Answer answer, ByteBuf payload) {
            boolean good = answer.code() == StoreMessages.Code.SERVED;
            if (!good) {
                payload.release();
            }
            waiting.remove(attempt).accept(good ? payload : null);
        }

        @Override
        public void failed(long attempt, NodeConnection.ConnectionFailure how) {
            waiting.remove(attempt).accept(null);
        }

        @Override
        public void healthReported(long id, float[] report) {}

        @Override
        public boolean handshakeCompleted(StoreMessages.HandshakeReply welcome) {
            return true;
        }
    }

    private final class Client extends ChannelInboundHandlerAdapter {
        private final Running of;
        private VolumeSettings volume;

        Client(Running of) {
            this.of = of;
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof sagepulley.codec.nbd.AttachedExport attached) {
                volume =
                        of.site.volumes().stream()
                                .filter(line -> line.name().equals(attached.export().name()))
                                .findFirst()
                                .orElseThrow();
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            NbdRequest asked = (NbdRequest) message;
            boolean reads = asked.command() == NbdConstants.CMD_READ;
            int extentBytes = of.site.extentBytes();
            long extent = asked.offset() / extentBytes;
            List<Peer> all = List.copyOf(of.peers.values());
            Peer peer = all.get((int) (extent % all.size()));
            long mark = ++of.ids;
            StoreMessages.Kind kind = reads ? StoreMessages.Kind.READ : StoreMessages.Kind.WRITE;
            int band = reads ? volume.readTrafficClass() : volume.writeTrafficClass();
            int repeat = of.site.deployment().trafficClasses().get(band).idempotency().ordinal();
            ByteBuf payload = Unpooled.wrappedBuffer(ByteBufUtil.getBytes(asked.payload()));
            asked.payload().release();
            java.util.function.IntConsumer send =
                    number -> {
                        long attempt = mark * 10 + number;
                        peer.waiting.put(
                                attempt,
                                data -> {
                                    boolean last = way != Way.THRICE || number == 2;
                                    if (!last) {
                                        again(
                                                attempt + 1,
                                                number + 1,
                                                peer,
                                                mark,
                                                kind,
                                                band,
                                                repeat,
                                                extent,
                                                asked,
                                                payload,
                                                ctx,
                                                data);
                                    } else if (number == (way == Way.THRICE ? 2 : 0)) {
                                        of.later(
                                                way == Way.LATE ? 900 : 0,
                                                () -> reply(ctx, asked, data));
                                    } else if (data != null) {
                                        data.release();
                                    }
                                });
                        if (way == Way.UNWRITTEN && !reads) {
                            peer.waiting.remove(attempt).accept(Unpooled.EMPTY_BUFFER);
                        } else {
                            peer.link.send(
                                    attempt,
                                    make(
                                            kind,
                                            band,
                                            repeat,
                                            mark,
                                            number,
                                            extent,
                                            asked,
                                            extentBytes),
                                    payload.retainedDuplicate());
                        }
                    };
            send.accept(0);
            if (way == Way.AT_ONCE_TWICE) {
                send.accept(1);
            } else if (way == Way.AFTERWARDS) {
                of.later(700, () -> send.accept(1));
            }
        }

        private StoreMessages.Send make(
                StoreMessages.Kind kind,
                int band,
                int repeat,
                long mark,
                int number,
                long extent,
                NbdRequest asked,
                int extentBytes) {
            return new StoreMessages.Send(
                    kind,
                    band,
                    false,
                    repeat,
                    mark,
                    number,
                    volume.id(),
                    extent,
                    (int) (asked.offset() % extentBytes),
                    asked.length(),
                    1,
                    0);
        }

        private void again(
                long attempt,
                int number,
                Peer peer,
                long mark,
                StoreMessages.Kind kind,
                int band,
                int repeat,
                long extent,
                NbdRequest asked,
                ByteBuf payload,
                ChannelHandlerContext ctx,
                ByteBuf old) {
            if (old != null) {
                old.release();
            }
            peer.waiting.put(
                    attempt,
                    data -> {
                        if (number < 2) {
                            again(
                                    attempt + 1,
                                    number + 1,
                                    peer,
                                    mark,
                                    kind,
                                    band,
                                    repeat,
                                    extent,
                                    asked,
                                    payload,
                                    ctx,
                                    data);
                        } else {
                            reply(ctx, asked, data);
                        }
                    });
            peer.link.send(
                    attempt,
                    make(kind, band, repeat, mark, number, extent, asked, of.site.extentBytes()),
                    payload.retainedDuplicate());
        }

        private void reply(ChannelHandlerContext ctx, NbdRequest asked, ByteBuf data) {
            if (data == null) {
                NbdReplies.error(
                        ctx.channel(), asked.cookie(), NbdConstants.EIO, "failed", -1, true);
            } else if (asked.command() == NbdConstants.CMD_READ) {
                NbdReplies.data(ctx.channel(), asked.cookie(), asked.offset(), data, true);
            } else {
                data.release();
                NbdReplies.done(ctx.channel(), asked.cookie());
            }
            ctx.flush();
        }
    }
}
