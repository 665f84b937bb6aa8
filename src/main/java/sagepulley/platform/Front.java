package sagepulley.platform;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import sagepulley.resp.RespDecoder;
import sagepulley.resp.RespLimits;

/** Where clients connect: takes connections up to a number, and ends those that nobody uses. On the loop. */
final class Front {
    /** Bytes of a value, as the protocol allows. */
    static final int LONGEST_VALUE = 65_536;
    private static final int LONGEST_LINE = 64;
    private static final int MOST_WORDS = 8;
    private static final int WORDS_BESIDE_VALUE = 4096;
    private static final int BACKLOG = 1024;
    private static final int UNREAD_LOW = 65_536;
    private static final int UNREAD_HIGH = 262_144;
    /** A connection without a whole command is closed by this age; one that stops reading, after this long. */
    private static final double SILENT_TIME = 2_000;
    /** A client that means to ask has done so by then. */
    private static final double FIRST_COMMAND_TIME = 100;
    private static final double STUCK_TIME = 5_000;
    /** One that nobody uses may go after this long where room is short, and goes after that long anyway. */
    private static final double UNUSED_TIME = 2_000;
    private static final double LONG_UNUSED_TIME = 15_000;

    private final Transport transport;
    private final int most;
    private final ClientConnection.Owner owner;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private Channel listener;
    private boolean keeping;
    private boolean ending;
    long accepted;
    long turnedAway;

    Front(Transport transport, int most, ClientConnection.Owner owner) {
        this.transport = transport;
        this.most = most;
        this.owner = owner;
    }

    ChannelFuture listen(SocketAddress address) {
        RespLimits limits = RespLimits.commands(LONGEST_LINE, LONGEST_VALUE,
                LONGEST_VALUE + WORDS_BESIDE_VALUE, MOST_WORDS);
        ServerBootstrap server = new ServerBootstrap().group(transport.loops()).channel(transport.server())
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(UNREAD_LOW, UNREAD_HIGH))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accepted++;
                        if (connections.size() >= most && !makeRoom()) {
                            turnedAway++;
                            channel.close();
                            return;
                        }
                        RespDecoder decoder = new RespDecoder(limits);
                        ClientConnection connection = new ClientConnection(owner, decoder);
                        connections.add(connection);
                        channel.pipeline().addLast(decoder, connection);
                    }
                });
        if (address instanceof InetSocketAddress) {
            server.option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                    .childOption(ChannelOption.TCP_NODELAY, true);
        }
        ChannelFuture bound = server.bind(address);
        listener = bound.channel();
        return bound;
    }

    void closed(ClientConnection connection) {
        connections.remove(connection);
    }

    int size() {
        return connections.size();
    }

    /**
     * Ends one connection without an open command: the oldest that never asked, if what it would ask must have
     * come by now, else whoever was unused longest.
     */
    private boolean makeRoom() {
        ClientConnection worst = null;
        double now = owner.now();
        for (ClientConnection connection : connections) {
            if (connection.hasOpen()) {
                continue;
            }
            if (!connection.asked && now - connection.connectedAt > FIRST_COMMAND_TIME) {
                worst = connection;
                break;
            }
            if (worst == null || connection.activeAt < worst.activeAt) {
                worst = connection;
            }
        }
        if (worst != null) {
            worst.close();
        }
        return worst != null;
    }

    /** Ends connections that nobody uses, that stop inside a command, or that read nothing. */
    void sweep() {
        double now = owner.now();
        boolean crowded = connections.size() > most / 2;
        for (ClientConnection connection : new ArrayList<>(connections)) {
            double quiet = now - connection.activeAt;
            if (now - connection.stuckSince > STUCK_TIME) {
                connection.close();
            } else if (!connection.hasOpen() && (!connection.asked && now - connection.connectedAt > SILENT_TIME
                    || !connection.isIdle() && quiet > SILENT_TIME
                    || !keeping && quiet > (crowded ? UNUSED_TIME : LONG_UNUSED_TIME))) {
                connection.close();
            }
        }
    }

    /** Connections stay open from now on, however long they are not used. */
    void keepUnused() {
        keeping = true;
    }

    /** Whether it has been ended, and the last connection is closed. */
    boolean hasEnded() {
        return ending && connections.isEmpty();
    }

    /** Takes no new connections, and ends each of those that stand once all that it asked is answered. */
    void end() {
        ending = true;
        if (listener != null) {
            listener.close();
        }
        new ArrayList<>(connections).forEach(ClientConnection::end);
    }
}
