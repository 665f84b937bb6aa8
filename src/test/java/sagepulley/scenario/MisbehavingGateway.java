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
 * A gateway that follows none of the rules: it forwards every request at once. Tests use it to show
 * that the rule checker detects each breach.
 */
final class MisbehavingGateway implements ScenarioRunner.GatewayLauncher {
    /**
     * An additional breach: replies after the deadline, a second attempt after the answer or at the
     * same time, retries beyond the budget, or writes that are acknowledged but never sent.
     */
    enum Misbehavior {
        NONE,
        LATE_ANSWER,
        ATTEMPT_AFTER_ANSWER,
        CONCURRENT_ATTEMPTS,
        EXTRA_RETRIES,
        DROPPED_WRITES
    }

    private final Misbehavior misbehavior;

    MisbehavingGateway(Misbehavior misbehavior) {
        this.misbehavior = misbehavior;
    }

    @Override
    public RunningGateway launch(SiteConfig site, long seed) {
        Running running = new Running(site, seed);
        return new RunningGateway(
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
        final Map<Integer, NodeClient> nodes = new TreeMap<>();
        final CompletableFuture<Void> listReceived = new CompletableFuture<>();
        final DirectoryClient directory;
        final Channel listener;
        final InetSocketAddress address;
        long lastOperationId;

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
            LocalCluster.await(listReceived);
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
        public void endpointListReceived(DirectoryMessages.EndpointList endpointList) {
            for (DirectoryMessages.EndpointLine line : endpointList.lines()) {
                nodes.computeIfAbsent(
                        line.node(),
                        node ->
                                new NodeClient(
                                        this,
                                        node,
                                        new InetSocketAddress(line.host(), line.port())));
            }
            listReceived.complete(null);
        }

        @Override
        public void endpointListFailed(String reason) {}

        @Override
        public List<Export> all() {
            return site.volumes().stream().map(settings -> findByName(settings.name())).toList();
        }

        @Override
        public Export findByName(String name) {
            return site.volumes().stream()
                    .filter(settings -> settings.name().equals(name))
                    .findFirst()
                    .map(
                            settings ->
                                    new Export(
                                            name,
                                            "",
                                            settings.sizeBytes(),
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

        void schedule(double milliseconds, Runnable task) {
            group.next().schedule(task, (long) milliseconds, TimeUnit.MILLISECONDS);
        }
    }

    /** A connection to a node. Each attempt has a callback, with null data if it failed. */
    private static final class NodeClient implements NodeConnection.Listener {
        final NodeConnection connection;
        final Map<Long, java.util.function.Consumer<ByteBuf>> callbacks = new HashMap<>();

        NodeClient(Running gateway, int node, InetSocketAddress address) {
            connection =
                    new NodeConnection(
                            gateway.group.next(),
                            EventLoops.socket(),
                            1 << 20,
                            node,
                            address,
                            new StoreMessages.Hello(gateway.seed, "rogue"),
                            this);
        }

        @Override
        public void answered(long attempt, StoreMessages.Answer answer, ByteBuf payload) {
            boolean served = answer.code() == StoreMessages.Code.SERVED;
            if (!served) {
                payload.release();
            }
            callbacks.remove(attempt).accept(served ? payload : null);
        }

        @Override
        public void failed(long attempt, NodeConnection.ConnectionFailure failure) {
            callbacks.remove(attempt).accept(null);
        }

        @Override
        public void healthReported(long id, float[] report) {}

        @Override
        public boolean handshakeCompleted(StoreMessages.HandshakeReply reply) {
            return true;
        }
    }

    private final class Client extends ChannelInboundHandlerAdapter {
        private final Running gateway;
        private VolumeSettings volume;

        Client(Running gateway) {
            this.gateway = gateway;
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof sagepulley.codec.nbd.AttachedExport attached) {
                volume =
                        gateway.site.volumes().stream()
                                .filter(
                                        settings ->
                                                settings.name().equals(attached.export().name()))
                                .findFirst()
                                .orElseThrow();
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            NbdRequest request = (NbdRequest) message;
            boolean isRead = request.command() == NbdConstants.CMD_READ;
            int extentBytes = gateway.site.extentBytes();
            long extent = request.offset() / extentBytes;
            List<NodeClient> nodeClients = List.copyOf(gateway.nodes.values());
            NodeClient nodeClient = nodeClients.get((int) (extent % nodeClients.size()));
            long operationId = ++gateway.lastOperationId;
            StoreMessages.Kind kind = isRead ? StoreMessages.Kind.READ : StoreMessages.Kind.WRITE;
            int trafficClass = isRead ? volume.readTrafficClass() : volume.writeTrafficClass();
            int idempotency =
                    gateway.site
                            .deployment()
                            .trafficClasses()
                            .get(trafficClass)
                            .idempotency()
                            .ordinal();
            ByteBuf payload = Unpooled.wrappedBuffer(ByteBufUtil.getBytes(request.payload()));
            request.payload().release();
            java.util.function.IntConsumer send =
                    attemptNumber -> {
                        long attempt = operationId * 10 + attemptNumber;
                        nodeClient.callbacks.put(
                                attempt,
                                data -> {
                                    boolean last =
                                            misbehavior != Misbehavior.EXTRA_RETRIES
                                                    || attemptNumber == 2;
                                    if (!last) {
                                        retry(
                                                attempt + 1,
                                                attemptNumber + 1,
                                                nodeClient,
                                                operationId,
                                                kind,
                                                trafficClass,
                                                idempotency,
                                                extent,
                                                request,
                                                payload,
                                                ctx,
                                                data);
                                    } else if (attemptNumber
                                            == (misbehavior == Misbehavior.EXTRA_RETRIES ? 2 : 0)) {
                                        gateway.schedule(
                                                misbehavior == Misbehavior.LATE_ANSWER ? 900 : 0,
                                                () -> reply(ctx, request, data));
                                    } else if (data != null) {
                                        data.release();
                                    }
                                });
                        if (misbehavior == Misbehavior.DROPPED_WRITES && !isRead) {
                            nodeClient.callbacks.remove(attempt).accept(Unpooled.EMPTY_BUFFER);
                        } else {
                            nodeClient.connection.send(
                                    attempt,
                                    createMessage(
                                            kind,
                                            trafficClass,
                                            idempotency,
                                            operationId,
                                            attemptNumber,
                                            extent,
                                            request,
                                            extentBytes),
                                    payload.retainedDuplicate());
                        }
                    };
            send.accept(0);
            if (misbehavior == Misbehavior.CONCURRENT_ATTEMPTS) {
                send.accept(1);
            } else if (misbehavior == Misbehavior.ATTEMPT_AFTER_ANSWER) {
                gateway.schedule(700, () -> send.accept(1));
            }
        }

        private StoreMessages.Send createMessage(
                StoreMessages.Kind kind,
                int trafficClass,
                int idempotency,
                long operationId,
                int attemptNumber,
                long extent,
                NbdRequest request,
                int extentBytes) {
            return new StoreMessages.Send(
                    kind,
                    trafficClass,
                    false,
                    idempotency,
                    operationId,
                    attemptNumber,
                    volume.id(),
                    extent,
                    (int) (request.offset() % extentBytes),
                    request.length(),
                    1,
                    0);
        }

        private void retry(
                long attempt,
                int attemptNumber,
                NodeClient nodeClient,
                long operationId,
                StoreMessages.Kind kind,
                int trafficClass,
                int idempotency,
                long extent,
                NbdRequest request,
                ByteBuf payload,
                ChannelHandlerContext ctx,
                ByteBuf previousData) {
            if (previousData != null) {
                previousData.release();
            }
            nodeClient.callbacks.put(
                    attempt,
                    data -> {
                        if (attemptNumber < 2) {
                            retry(
                                    attempt + 1,
                                    attemptNumber + 1,
                                    nodeClient,
                                    operationId,
                                    kind,
                                    trafficClass,
                                    idempotency,
                                    extent,
                                    request,
                                    payload,
                                    ctx,
                                    data);
                        } else {
                            reply(ctx, request, data);
                        }
                    });
            nodeClient.connection.send(
                    attempt,
                    createMessage(
                            kind,
                            trafficClass,
                            idempotency,
                            operationId,
                            attemptNumber,
                            extent,
                            request,
                            gateway.site.extentBytes()),
                    payload.retainedDuplicate());
        }

        private void reply(ChannelHandlerContext ctx, NbdRequest request, ByteBuf data) {
            if (data == null) {
                NbdReplies.error(
                        ctx.channel(), request.cookie(), NbdConstants.EIO, "failed", -1, true);
            } else if (request.command() == NbdConstants.CMD_READ) {
                NbdReplies.data(ctx.channel(), request.cookie(), request.offset(), data, true);
            } else {
                data.release();
                NbdReplies.done(ctx.channel(), request.cookie());
            }
            ctx.flush();
        }
    }
}
