package sagepulley.scenario.order;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoopGroup;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import sagepulley.codec.frame.EventLoops;
import sagepulley.codec.nbd.NbdClient;
import sagepulley.codec.nbd.NbdConstants;
import sagepulley.codec.nbd.NbdReply;

/**
 * A client that has a range of extents for itself. In each round it sends commands on few blocks
 * through one gateway without waiting, then reads the blocks through any gateway. Runs on one
 * thread.
 */
final class CommandClient implements Runnable {
    private static final int MAX_COMMANDS = 8;

    /** Blocks at the start of an extent on which the commands of a round overlap. */
    private static final int BLOCKS = 4;

    private static final double NEW_EXTENT_PROBABILITY = 0.4;
    private static final double WIDE_COMMAND_PROBABILITY = 0.02;
    private static final double TWO_EXTENTS_PROBABILITY = 0.1;
    private static final int MAX_WIDE_EXTENTS = 200;
    private static final int READ_TRIES = 20;
    private static final long READ_PAUSE_MILLIS = 100;
    private static final long RECONNECT_PAUSE_MILLIS = 20;
    private static final long REPLY_TIMEOUT_SECONDS = 30;

    private final ClientSettings settings;
    private final GatewayAddresses gateways;
    private final EventLoopGroup loops;
    private final Random random;
    private final NbdClient[] connections;
    private final ExpectedBlocks expected = new ExpectedBlocks();
    private final List<String> violations = new ArrayList<>();
    private long lastStamp;
    private long usedExtents = 1;
    private long acknowledged;
    private long checkedBlocks;
    private volatile boolean stopped;

    /**
     * The part of the volume that a client has for itself.
     *
     * @param readsInOrder whether reads are in an ordered traffic class too
     */
    record ClientSettings(
            String volume, long firstExtent, long extents, int extentBytes, boolean readsInOrder) {
        int blocksPerExtent() {
            return extentBytes / NbdCommand.BLOCK_BYTES;
        }
    }

    CommandClient(
            ClientSettings settings, GatewayAddresses gateways, EventLoopGroup loops, long seed) {
        this.settings = settings;
        this.gateways = gateways;
        this.loops = loops;
        this.random = new Random(seed);
        this.connections = new NbdClient[gateways.count()];
    }

    /** Ends the run after the current round. */
    void stop() {
        stopped = true;
    }

    /** Returns the blocks that held a value they must not; read after the thread has ended. */
    List<String> violations() {
        return violations;
    }

    /** Returns the number of acknowledged commands; read after the thread has ended. */
    long acknowledged() {
        return acknowledged;
    }

    /** Returns the number of blocks compared; read after the thread has ended. */
    long checkedBlocks() {
        return checkedBlocks;
    }

    @Override
    public void run() {
        try {
            while (!stopped) {
                runRound();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (NbdClient connection : connections) {
            if (connection != null) {
                connection.channel().close();
            }
        }
    }

    private void runRound() throws InterruptedException {
        long firstBlock = drawExtent() * settings.blocksPerExtent();
        List<NbdCommand> commands = new ArrayList<>();
        for (int i = 2 + random.nextInt(MAX_COMMANDS - 1); i > 0; i--) {
            commands.add(drawCommand(firstBlock));
        }
        NbdClient client = connect(random.nextInt(connections.length));
        if (client == null) {
            return;
        }
        List<CompletableFuture<NbdReply>> replies =
                commands.stream().map(command -> command.send(client)).toList();
        for (int i = 0; i < commands.size(); i++) {
            applyReply(commands, i, await(replies.get(i)));
        }
        checkBlocks(firstBlock, commands);
    }

    private long drawExtent() {
        boolean takeNew = random.nextDouble() < NEW_EXTENT_PROBABILITY;
        if (takeNew && usedExtents < settings.extents() - 1) {
            usedExtents++;
            return settings.firstExtent() + usedExtents - 1;
        }
        return settings.firstExtent() + random.nextLong(usedExtents);
    }

    private NbdCommand drawCommand(long firstBlock) {
        NbdCommand.Kind[] kinds = NbdCommand.Kind.values();
        int drawn = random.nextInt(settings.readsInOrder() ? kinds.length : kinds.length - 1);
        NbdCommand.Kind kind = kinds[drawn];
        long stamp = kind == NbdCommand.Kind.WRITE ? ++lastStamp : ExpectedBlocks.ZEROES;
        if (kind == NbdCommand.Kind.TRIM && random.nextDouble() < WIDE_COMMAND_PROBABILITY) {
            long first = settings.firstExtent() * settings.blocksPerExtent();
            long extents = Math.min(settings.extents(), 1 + random.nextInt(MAX_WIDE_EXTENTS));
            return new NbdCommand(kind, first, (int) extents * settings.blocksPerExtent(), stamp);
        }
        if (random.nextDouble() < TWO_EXTENTS_PROBABILITY) {
            return new NbdCommand(kind, firstBlock, settings.blocksPerExtent() + 1, stamp);
        }
        int offset = random.nextInt(BLOCKS);
        int count = 1 + random.nextInt(BLOCKS - offset);
        return new NbdCommand(kind, firstBlock + offset, count, stamp);
    }

    private void applyReply(List<NbdCommand> commands, int index, NbdReply reply) {
        NbdCommand command = commands.get(index);
        ExpectedBlocks.Effect effect = effect(reply);
        if (effect == ExpectedBlocks.Effect.APPLIED) {
            acknowledged++;
        }
        if (command.kind() != NbdCommand.Kind.READ) {
            expected.apply(command.firstBlock(), command.blockCount(), command.value(), effect);
        } else if (effect == ExpectedBlocks.Effect.APPLIED) {
            checkData(command.firstBlock(), reply, commands.subList(0, index));
        }
        if (reply != null) {
            reply.release();
        }
    }

    /** Returns what a reply tells; null stands for a connection that ended before the reply. */
    private static ExpectedBlocks.Effect effect(NbdReply reply) {
        if (reply == null) {
            return ExpectedBlocks.Effect.UNKNOWN;
        }
        return switch (reply.error) {
            case 0 -> ExpectedBlocks.Effect.APPLIED;
            case NbdConstants.ESHUTDOWN -> ExpectedBlocks.Effect.NONE;
            default -> ExpectedBlocks.Effect.UNKNOWN;
        };
    }

    /** Reads the blocks of a round, and those of the next extent, until the reads are served. */
    private void checkBlocks(long firstBlock, List<NbdCommand> commands)
            throws InterruptedException {
        int blocks = settings.blocksPerExtent() + 1;
        NbdCommand read =
                new NbdCommand(NbdCommand.Kind.READ, firstBlock, blocks, ExpectedBlocks.ZEROES);
        for (int i = 0; i < READ_TRIES && !stopped; i++) {
            NbdClient client = connect(random.nextInt(connections.length));
            NbdReply reply = client == null ? null : await(read.send(client));
            if (effect(reply) == ExpectedBlocks.Effect.APPLIED) {
                checkData(firstBlock, reply, commands);
                reply.release();
                return;
            }
            if (reply != null) {
                reply.release();
            }
            Thread.sleep(READ_PAUSE_MILLIS);
        }
    }

    private void checkData(long firstBlock, NbdReply reply, List<NbdCommand> commands) {
        ByteBuf data = reply.data();
        try {
            for (int i = 0; i < data.readableBytes() / NbdCommand.BLOCK_BYTES; i++) {
                checkedBlocks++;
                long value = data.getLong(data.readerIndex() + i * NbdCommand.BLOCK_BYTES);
                Set<Long> allowed = expected.allowedValues(firstBlock + i);
                if (!allowed.contains(value)) {
                    violations.add(
                            "block "
                                    + (firstBlock + i)
                                    + " reads "
                                    + value
                                    + ", allowed are "
                                    + allowed
                                    + " after "
                                    + commands);
                }
            }
        } finally {
            data.release();
        }
    }

    /** Returns an open connection to a gateway, or null if it cannot be reached now. */
    private NbdClient connect(int gateway) throws InterruptedException {
        NbdClient connection = connections[gateway];
        if (connection != null && connection.channel().isActive()) {
            return connection;
        }
        connections[gateway] = null;
        try {
            connections[gateway] =
                    NbdClient.open(
                                    loops,
                                    EventLoops.socket(),
                                    gateways.address(gateway),
                                    settings.volume(),
                                    NbdClient.Style.GO)
                            .get(REPLY_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException unreachable) {
            Thread.sleep(RECONNECT_PAUSE_MILLIS);
        }
        return connections[gateway];
    }

    /** Returns a reply, or null if the connection ended before it. */
    private NbdReply await(CompletableFuture<NbdReply> reply) throws InterruptedException {
        try {
            return reply.get(REPLY_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException connectionEnded) {
            return null;
        } catch (TimeoutException unanswered) {
            violations.add("a command was not answered within " + REPLY_TIMEOUT_SECONDS + " s");
            Arrays.stream(connections).forEach(CommandClient::close);
            return null;
        }
    }

    private static void close(NbdClient connection) {
        if (connection != null) {
            connection.channel().close();
        }
    }
}
