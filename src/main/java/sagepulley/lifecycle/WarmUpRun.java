package sagepulley.lifecycle;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.local.LocalAddress;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import sagepulley.codec.resp.NumberParser;
import sagepulley.codec.resp.Resp;
import sagepulley.codec.resp.RespDecoder;
import sagepulley.codec.resp.RespEncoder;
import sagepulley.codec.resp.RespLimits;
import sagepulley.config.resp.ConfigException;
import sagepulley.frontend.resp.BlockCommand;
import sagepulley.frontend.resp.RespGateway;
import sagepulley.logging.LogWriter;
import sagepulley.transport.Transport;

/**
 * Runs a complete gateway for a short time, with its own endpoint, discovery and clients.
 *
 * <p>The build runs it on loopback, so that the JVM records the classes that a start needs. A
 * gateway runs it in process before it listens, so that its code is compiled when clients connect.
 */
public final class WarmUpRun {
    private static final int CLIENTS = 4;
    private static final int OPERATIONS = 300;
    private static final long SHUTDOWN_QUIET_PERIOD_MILLIS = 100;
    private static final long SHUTDOWN_TIMEOUT_MILLIS = 1_000;
    private static final long BUILD_TIMEOUT_MILLIS = 10_000;
    private static final RespLimits COMMAND_LIMITS = RespLimits.commands(64, 2048, 4096, 8);
    private static final RespLimits REPLY_LIMITS = RespLimits.replies(512, 2048, 4096, 8);

    /** Every n-th request is a write, names an unknown class, or is a PING. */
    private static final int WRITE_INTERVAL = 3;

    private static final int UNKNOWN_CLASS_INTERVAL = 20;
    private static final int PING_INTERVAL = 50;
    private static final int VOLUMES = 7;
    private static final int EXTENTS = 30;
    private static final byte[] ENDPOINT_REPLY =
            "*3\r\n$5\r\nvalue\r\n$6\r\ncost=1\r\n$-1\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] ENDPOINT_LIST_RESPONSE =
            ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + "2e\r\n{\"revision\":2,\"complete\":false,\"members\":[]}\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII);

    private final Transport transport;
    private final SocketAddress listen;
    private final CountDownLatch remaining;
    private long requestCount;

    private WarmUpRun(Transport transport, SocketAddress listen, int operations) {
        this.transport = transport;
        this.listen = listen;
        this.remaining = new CountDownLatch(operations);
    }

    /** Runs the warm-up of the build: in process, on loopback, and from a configuration file. */
    public static void onLoopback() throws IOException, ConfigException {
        inProcess(OPERATIONS, BUILD_TIMEOUT_MILLIS);
        run(
                Transport.sockets(),
                Transport.sockets(),
                loopback(),
                loopback(),
                loopback(),
                OPERATIONS,
                BUILD_TIMEOUT_MILLIS);
        serveFromFile();
    }

    /** Starts a gateway from a configuration file as in production, and stops it. */
    private static void serveFromFile() throws IOException, ConfigException {
        Path file = Files.createTempFile("rehearsal", ".json");
        try {
            Files.writeString(file, WarmUpConfig.listeningAt(WarmUpConfig.freePort()));
            GatewayServer.run(Map.of("GW_CONFIG", file.toString()), RespGateway::stopNow);
        } finally {
            Files.delete(file);
        }
    }

    /** Runs a warm-up in process until it has completed this many operations or timed out. */
    static void inProcess(int operations, long timeoutMillis) {
        try {
            run(
                    Transport.inProcess(),
                    Transport.inProcess(),
                    new LocalAddress(WarmUpRun.class),
                    new LocalAddress(WarmUpRun.class),
                    new LocalAddress(WarmUpRun.class),
                    operations,
                    timeoutMillis);
        } catch (IOException | ConfigException e) {
            LogWriter.warn("warm-up failed", "reason", e.getMessage());
        }
    }

    private static SocketAddress loopback() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    /** Runs a gateway on its own event loop, as in production; the other parts share one. */
    private static void run(
            Transport gatewayTransport,
            Transport peerTransport,
            SocketAddress listen,
            SocketAddress endpoint,
            SocketAddress discovery,
            int operations,
            long timeoutMillis)
            throws IOException, ConfigException {
        try {
            SocketAddress endpointAddress =
                    server(peerTransport, endpoint, WarmUpRun::serveEndpoint);
            SocketAddress discoveryAddress =
                    server(peerTransport, discovery, WarmUpRun::serveDiscovery);
            RespGateway gateway =
                    new RespGateway(
                            WarmUpConfig.at(listen, discoveryAddress, endpointAddress),
                            gatewayTransport);
            gateway.connectToDiscovery();
            WarmUpRun warmUp = new WarmUpRun(peerTransport, gateway.start().join(), operations);
            for (int i = 0; i < CLIENTS; i++) {
                warmUp.connectClient();
            }
            warmUp.remaining.await(timeoutMillis, TimeUnit.MILLISECONDS);
            // The gateway stops first, because its peers' event loop must still run to detect the
            // close of its connections.
            gateway.stopNow();
            gateway.stopped().join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            peerTransport
                    .eventLoops()
                    .shutdownGracefully(
                            SHUTDOWN_QUIET_PERIOD_MILLIS,
                            SHUTDOWN_TIMEOUT_MILLIS,
                            TimeUnit.MILLISECONDS);
            gatewayTransport
                    .eventLoops()
                    .shutdownGracefully(
                            SHUTDOWN_QUIET_PERIOD_MILLIS,
                            SHUTDOWN_TIMEOUT_MILLIS,
                            TimeUnit.MILLISECONDS);
        }
    }

    private interface PipelineInitializer {
        void initialize(Channel channel);
    }

    private static SocketAddress server(
            Transport transport, SocketAddress address, PipelineInitializer pipeline) {
        return new ServerBootstrap()
                .group(transport.eventLoops())
                .channel(transport.server())
                .childHandler(initializer(pipeline))
                .bind(address)
                .syncUninterruptibly()
                .channel()
                .localAddress();
    }

    private static ChannelInitializer<Channel> initializer(PipelineInitializer pipeline) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                pipeline.initialize(channel);
            }
        };
    }

    private static void serveEndpoint(Channel channel) {
        channel.pipeline()
                .addLast(
                        new RespDecoder(COMMAND_LIMITS),
                        new SimpleChannelInboundHandler<Resp>() {
                            @Override
                            protected void channelRead0(ChannelHandlerContext ctx, Resp command) {
                                ctx.writeAndFlush(Unpooled.wrappedBuffer(ENDPOINT_REPLY));
                            }
                        });
    }

    private static void serveDiscovery(Channel channel) {
        channel.pipeline()
                .addLast(
                        new HttpServerCodec(),
                        new SimpleChannelInboundHandler<HttpObject>() {
                            @Override
                            protected void channelRead0(
                                    ChannelHandlerContext ctx, HttpObject request) {
                                if (request instanceof LastHttpContent) {
                                    // Bypasses the encoder, because the response is already
                                    // encoded.
                                    ctx.channel()
                                            .pipeline()
                                            .firstContext()
                                            .writeAndFlush(
                                                    Unpooled.wrappedBuffer(ENDPOINT_LIST_RESPONSE));
                                }
                            }
                        });
    }

    /** Connects a client that sends one command after another, some of them invalid. */
    private void connectClient() {
        transport
                .connector()
                .handler(
                        initializer(
                                channel ->
                                        channel.pipeline()
                                                .addLast(
                                                        new RespDecoder(REPLY_LIMITS),
                                                        new ClientHandler())))
                .connect(listen);
    }

    private final class ClientHandler extends SimpleChannelInboundHandler<Resp> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            sendRequest(ctx);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, Resp reply) {
            remaining.countDown();
            sendRequest(ctx);
        }
    }

    private void sendRequest(ChannelHandlerContext ctx) {
        long number = ++requestCount;
        boolean isWrite = number % WRITE_INTERVAL == 0;
        String fields =
                "c="
                        + (number % UNKNOWN_CLASS_INTERVAL == 0 ? "none" : isWrite ? "put" : "get")
                        + ",t=any,d=900,volume="
                        + NumberParser.formatId(number % VOLUMES)
                        + ",units=1,shard="
                        + (isWrite ? -1 : 0)
                        + ",hosts=1";
        List<byte[]> arguments = new ArrayList<>();
        for (String argument :
                number % PING_INTERVAL == 0
                        ? List.of("PING")
                        : List.of(
                                isWrite ? BlockCommand.WRITE : BlockCommand.READ,
                                NumberParser.formatId(number % EXTENTS),
                                NumberParser.formatId(number),
                                fields,
                                "value")) {
            arguments.add(argument.getBytes(StandardCharsets.US_ASCII));
        }
        ctx.writeAndFlush(
                RespEncoder.command(
                        isWrite || arguments.size() == 1 ? arguments : arguments.subList(0, 4)));
    }
}
