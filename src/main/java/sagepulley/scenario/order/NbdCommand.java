package sagepulley.scenario.order;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.concurrent.CompletableFuture;
import sagepulley.codec.nbd.NbdClient;
import sagepulley.codec.nbd.NbdConstants;
import sagepulley.codec.nbd.NbdReply;

/**
 * A command of an order soak on a range of blocks.
 *
 * @param value the stamp that a write fills its blocks with; 0 for the other kinds
 */
record NbdCommand(Kind kind, long firstBlock, int blockCount, long value) {
    static final int BLOCK_BYTES = 4096;

    /** The kinds of commands, with their code and flags in the NBD protocol. */
    enum Kind {
        WRITE(NbdConstants.CMD_WRITE, 0),
        ZERO(NbdConstants.CMD_WRITE_ZEROES, 0),
        ZERO_ALLOCATED(NbdConstants.CMD_WRITE_ZEROES, NbdConstants.CMD_FLAG_NO_HOLE),
        TRIM(NbdConstants.CMD_TRIM, 0),
        READ(NbdConstants.CMD_READ, 0);

        private final int command;
        private final int flags;

        Kind(int command, int flags) {
            this.command = command;
            this.flags = flags;
        }
    }

    /** Sends the command. */
    CompletableFuture<NbdReply> send(NbdClient client) {
        return client.request(
                kind.command,
                kind.flags,
                firstBlock * BLOCK_BYTES,
                blockCount * BLOCK_BYTES,
                kind == Kind.WRITE ? payload() : Unpooled.EMPTY_BUFFER);
    }

    private ByteBuf payload() {
        ByteBuf data = Unpooled.buffer(blockCount * BLOCK_BYTES);
        while (data.isWritable()) {
            data.writeLong(value);
        }
        return data;
    }

    @Override
    public String toString() {
        String stamp = kind == Kind.WRITE ? " with " + value : "";
        return kind + stamp + " blocks " + firstBlock + "+" + blockCount;
    }
}
