package sagepulley.faultinjection;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import java.io.Closeable;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import sagepulley.codec.frame.EventLoops;
import sagepulley.codec.resp.Resp;
import sagepulley.codec.resp.RespDecoder;
import sagepulley.codec.resp.RespLimits;
import sagepulley.transport.KernelReceiveTime;

/**
 * A storage endpoint on loopback that serves every command and records reads and writes, with the
 * time at which the kernel received them: this process may be short of CPU time.
 */
final class StoreServer implements Closeable {
    private static final Pattern DEADLINE = Pattern.compile("(?:^|,)d=(\\d+)(?:,|$)");
    private static final int BACKLOG = 500;
    private static final int MAX_LINE_BYTES = 64;
    private static final int MAX_COMMAND_BYTES = RespLimits.MAX_VALUE_BYTES + 4096;
    private static final int MAX_ARGUMENTS = 64;
    private static final RespLimits LIMITS =
            RespLimits.commands(
                    MAX_LINE_BYTES, RespLimits.MAX_VALUE_BYTES, MAX_COMMAND_BYTES, MAX_ARGUMENTS);
    private static final long DEFAULT_WORK_MILLIS = 2;
    private static final long UNRESPONSIVE_POLL_MILLIS = 20;
    private static final double NANOS_PER_MILLI = 1e6;

    /**
     * A command received.
     *
     * @param arrivedAt time at which this host received the last bytes, System.nanoTime
     * @param deadlineMillis time left until the deadline, as the command states it; -1 for none
     */
    record Arrival(String endpoint, String requestId, long arrivedAt, long deadlineMillis) {}

    final String id;
    final int cell;
    final int port;
    final Queue<Arrival> arrivals = new ConcurrentLinkedQueue<>();

    /** Commands are recorded but not answered while this is set. */
    volatile boolean unresponsive;

    /** Time that the store works on a command. */
    volatile long workMillis = DEFAULT_WORK_MILLIS;

    /** Runs the listener and all connections. */
    final EventLoopGroup loop;

    private final Channel listener;
    private final KernelReceiveTime receiveTime = new KernelReceiveTime();
    private final Set<Channel> connections = ConcurrentHashMap.newKeySet();

    /** Starts a store on a free port. */
    StoreServer(String id, int cell) {
        this.id = id;
        this.cell = cell;
        this.loop = EventLoops.group(1, "store-" + id);
        this.listener =
                new ServerBootstrap()
                        .group(loop)
                        .channel(EventLoops.server())
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(connectionInitializer())
                        .bind(InetAddress.getLoopbackAddress(), 0)
                        .syncUninterruptibly()
                        .channel();
        this.port = ((InetSocketAddress) listener.localAddress()).getPort();
    }

    private ChannelInitializer<Channel> connectionInitializer() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                connections.add(channel);
                channel.closeFuture().addListener(closed -> connections.remove(channel));
                channel.pipeline().addLast(new RespDecoder(LIMITS), new CommandHandler());
            }
        };
    }

    /** Returns the store's entry in the endpoint list. */
    Endpoint endpoint(Endpoint.State state, long startedAtWallMillis) {
        return new Endpoint(id, port, cell, state, startedAtWallMillis);
    }

    /** Serves the commands of one connection. */
    private final class CommandHandler extends SimpleChannelInboundHandler<Resp> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, Resp command) {
            List<String> arguments =
                    ((Resp.Array) command)
                            .items().stream().map(item -> ((Resp.Bulk) item).text()).toList();
            if (!arguments.get(0).startsWith("BLK.")) {
                send(ctx, "+PONG\r\n");
                return;
            }
            String requestId = arguments.get(2);
            double millisAgo = receiveTime.millisSinceReceived(ctx.channel(), Double.MAX_VALUE);
            Matcher deadline = DEADLINE.matcher(arguments.get(3));
            arrivals.add(
                    new Arrival(
                            id,
                            requestId,
                            System.nanoTime() - (long) (millisAgo * NANOS_PER_MILLI),
                            deadline.find() ? Long.parseLong(deadline.group(1)) : -1));
            startWork(ctx, requestId);
        }

        /** Begins to work on a command once the store responds. */
        private void startWork(ChannelHandlerContext ctx, String requestId) {
            if (unresponsive) {
                schedule(ctx, () -> startWork(ctx, requestId), UNRESPONSIVE_POLL_MILLIS);
            } else {
                String reply = "*3\r\n$16\r\n" + requestId + "\r\n$-1\r\n$-1\r\n";
                schedule(ctx, () -> send(ctx, reply), workMillis);
            }
        }

        private void schedule(ChannelHandlerContext ctx, Runnable task, long millis) {
            ctx.executor().schedule(task, millis, TimeUnit.MILLISECONDS);
        }

        private void send(ChannelHandlerContext ctx, String reply) {
            ctx.writeAndFlush(ByteBufUtil.writeAscii(ctx.alloc(), reply));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** Resets all connections and keeps serving. */
    void resetConnections() {
        connections.forEach(StoreServer::reset);
    }

    private static void reset(Channel connection) {
        connection.eventLoop().execute(() -> resetUnlessClosed(connection));
    }

    private static void resetUnlessClosed(Channel connection) {
        if (connection.isOpen()) {
            connection.config().setOption(ChannelOption.SO_LINGER, 0);
            connection.close();
        }
    }

    @Override
    public void close() {
        listener.close();
        resetConnections();
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
