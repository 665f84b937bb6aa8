package sagepulley.platform;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import sagepulley.codec.resp.RespDecoder;
import sagepulley.codec.resp.RespLimits;

/**
 * Where clients connect: takes connections up to a number, and ends those that nobody uses. On the
 * loop.
 */
final class ClientListener {
    /** Bytes of a value, as the protocol allows. */
    static final int LONGEST_VALUE = 65_536;

    private static final int LONGEST_LINE = 64;
    private static final int MOST_WORDS = 8;
    private static final int WORDS_BESIDE_VALUE = 4096;
    private static final int BACKLOG = 1024;
    private static final int UNREAD_LOW = 65_536;
    private static final int UNREAD_HIGH = 262_144;

    /**
     * A connection that owes bytes, of a command or of its first one, is ended after this long
     * without any.
     */
    private static final double SILENT_TIME = 2_000;

    /** A client that means to ask has done so by then. */
    private static final double FIRST_COMMAND_TIME = 100;

    private static final double STUCK_TIME = 5_000;

    /**
     * A connection that has said its end waits so long for the peer's, and at most so many wait.
     */
    private static final double LINGER_TIME = 1_000;

    private static final int MOST_LINGERING = 16;

    /**
     * One that nobody uses may go after this long where room is short, and goes after that long
     * anyway.
     */
    private static final double UNUSED_TIME = 2_000;

    private static final double LONG_UNUSED_TIME = 15_000;

    private final Transport transport;
    private final int most;
    private final double slowest;
    private final EventLoop loop;
    private final ClientConnection.Owner owner;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private Channel listener;
    private boolean keeping;
    private boolean ending;
    long accepted;
    long turnedAway;

    /**
     * So many connections at most; a command that takes longer than the slowest time to come is of
     * no use.
     */
    ClientListener(Transport transport, int most, double slowest, ClientConnection.Owner owner) {
        this.transport = transport;
        this.loop = transport.loops().next();
        this.most = most - MOST_LINGERING;
        this.slowest = Math.max(slowest, SILENT_TIME);
        this.owner = owner;
    }

    ChannelFuture listen(SocketAddress address) {
        RespLimits limits =
                RespLimits.commands(
                        LONGEST_LINE,
                        LONGEST_VALUE,
                        LONGEST_VALUE + WORDS_BESIDE_VALUE,
                        MOST_WORDS);
        ServerBootstrap server =
                new ServerBootstrap()
                        .group(transport.loops())
                        .channel(transport.server())
                        .childOption(
                                ChannelOption.WRITE_BUFFER_WATER_MARK,
                                new WriteBufferWaterMark(UNREAD_LOW, UNREAD_HIGH))
                        .handler(new AcceptErrorHandler())
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        accepted++;
                                        if (!hasRoom()) {
                                            turnedAway++;
                                            channel.close();
                                            return;
                                        }
                                        RespDecoder decoder = new RespDecoder(limits);
                                        ClientConnection connection =
                                                new ClientConnection(owner, decoder);
                                        connections.add(connection);
                                        channel.pipeline().addLast(decoder, connection);
                                    }
                                });
        if (address instanceof InetSocketAddress) {
            server.option(ChannelOption.SO_BACKLOG, BACKLOG)
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .childOption(ChannelOption.TCP_NODELAY, true);
        }
        ChannelFuture bound = server.bind(address);
        listener = bound.channel();
        return bound;
    }

    void closed(ClientConnection connection) {
        connections.remove(connection);
    }

    /** Whether some connection has a command under way. */
    boolean isInMiddle() {
        return connections.stream().anyMatch(ClientConnection::inMiddle);
    }

    int size() {
        return connections.size();
    }

    /** Whether one more can be held, if need be by ending another. */
    private boolean hasRoom() {
        ClientConnection oldestLingering = null;
        int lingering = 0;
        for (ClientConnection connection : connections) {
            if (connection.isEnding() && !connection.hasOpen()) {
                oldestLingering = oldestLingering == null ? connection : oldestLingering;
                lingering++;
            }
        }
        if (connections.size() - lingering < most) {
            return true;
        }
        if (lingering >= MOST_LINGERING) {
            oldestLingering.close("room");
        }
        return makeRoom();
    }

    /**
     * Ends one connection without an open command: the oldest that never asked, if what it would
     * ask must have come by now, else whoever was unused longest, and of those rather one that has
     * begun no command.
     */
    private boolean makeRoom() {
        ClientConnection worst = null;
        double now = owner.now();
        for (ClientConnection connection : connections) {
            if (connection.hasOpen() || connection.isEnding()) {
                continue;
            }
            if (!connection.asked && now - connection.heardAt > FIRST_COMMAND_TIME) {
                worst = connection;
                break;
            }
            if (worst == null
                    || (worst.inMiddle() && !connection.inMiddle())
                    || (worst.inMiddle() == connection.inMiddle()
                            && connection.activeAt < worst.activeAt)) {
                worst = connection;
            }
        }
        if (worst != null) {
            worst.end("room");
        }
        return worst != null;
    }

    /** Ends connections that nobody uses, that stop inside a command, or that read nothing. */
    void sweep() {
        double now = owner.now();
        boolean crowded = connections.size() > most / 2;
        for (ClientConnection connection : new ArrayList<>(connections)) {
            double quiet = now - connection.activeAt;
            double silent = now - connection.heardAt;
            if (now - connection.stuckSince > STUCK_TIME
                    || now - connection.doneSince > LINGER_TIME) {
                connection.close(
                        now - connection.stuckSince > STUCK_TIME
                                ? "reads nothing"
                                : "peer never ends");
            } else if (connection.hasOpen()) {
                continue;
            } else if (connection.inMiddle()
                    ? silent > SILENT_TIME || now - connection.partialSince > slowest
                    : !connection.asked
                            ? now - connection.connectedAt > SILENT_TIME
                            : !keeping && quiet > (crowded ? UNUSED_TIME : LONG_UNUSED_TIME)) {
                connection.end("unused");
            } else if (ending && now - connection.connectedAt > FIRST_COMMAND_TIME) {
                connection.end("stop");
            }
        }
    }

    /** Connections stay open from now on, however long they are not used. */
    void keepUnused() {
        keeping = true;
    }

    /** Whether it has been ended, and the last connection is closed. */
    boolean hasEnded() {
        return ending && listener == null && connections.isEmpty();
    }

    boolean isEnding() {
        return ending;
    }

    /**
     * Takes no new connections, and ends each of those that stand once all that it asked is
     * answered. What the kernel has accepted by now is taken first, and may still ask: the sweep
     * ends it.
     */
    void end() {
        ending = true;
        closeListener(-1);
        double now = owner.now();
        for (ClientConnection connection : new ArrayList<>(connections)) {
            if (connection.asked || now - connection.connectedAt > FIRST_COMMAND_TIME) {
                connection.end("stop");
            }
        }
    }

    /**
     * Closes it in a turn of the loop in which it was asked for connections and nobody was there to
     * be accepted.
     */
    private void closeListener(long acceptedBefore) {
        if (listener == null) {
            return;
        }
        if (accepted == acceptedBefore && listener.config().isAutoRead()) {
            listener.close();
            listener = null;
            return;
        }
        long acceptedNow = accepted;
        // Not executed but scheduled: the loop looks at its sockets before it runs what was
        // scheduled meanwhile.
        loop.schedule(() -> closeListener(acceptedNow), 1, TimeUnit.MILLISECONDS);
    }
}
