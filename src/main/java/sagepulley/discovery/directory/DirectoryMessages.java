package sagepulley.discovery.directory;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import sagepulley.codec.frame.Frame;
import sagepulley.codec.frame.FrameFields;
import sagepulley.codec.frame.MalformedMessageException;

/**
 * Encodes and decodes the messages to and from the directory (docs/protocols.md, Directory
 * protocol). Decoding methods do not release the frame and throw if it is malformed.
 */
public final class DirectoryMessages {
    /** From a gateway or node: its identity and the protocol version. */
    public static final int HELLO = 1;

    /** From a gateway: requests the endpoint list and all later changes. */
    public static final int SUBSCRIBE = 2;

    /** From a gateway: requests the endpoint list once. */
    public static final int FETCH = 3;

    /** From a gateway: requests the cells that hold consecutive extents. */
    public static final int LOOKUP = 4;

    /** From a gateway: claims an extent for a cell unless another cell holds it. */
    public static final int CLAIM = 5;

    /** From a node: its entry of the endpoint list. */
    public static final int REGISTER = 6;

    /** From the directory: the endpoint list, or its changes. */
    public static final int LIST = 17;

    /** From the directory: the answer to a lookup. */
    public static final int HOLDERS = 18;

    /** From the directory: the answer to a claim. */
    public static final int HOLDER = 19;

    /** From the directory: a call failed, with the reason. */
    public static final int FAILED = 20;

    /** The maximum number of extents in one lookup. */
    public static final int MAX_LOOKUP_EXTENTS = 1 << 16;

    private static final int VERSION = 1;

    private static final int MAX_ENDPOINTS = 1 << 14;

    /** The phases of a node in the endpoint list, in the order of their numbers on the wire. */
    public enum Phase {
        GONE,
        READY,
        DRAINING
    }

    /**
     * An entry of the endpoint list.
     *
     * @param kind the hardware kind of the node
     * @param startedAt the start time of its incarnation in wall-clock milliseconds; 0 for long ago
     */
    public record EndpointLine(
            int node,
            int cell,
            int zone,
            int kind,
            Phase phase,
            long startedAt,
            float weight,
            String host,
            int port) {}

    /**
     * The endpoint list, or its changes.
     *
     * @param call the call that it answers; 0 if it was pushed
     * @param version increases with every change within one history
     * @param complete whether nodes without an entry are gone
     * @param history the incarnation of the directory that counts the versions
     * @param site the site of the directory; empty if unknown
     */
    public record EndpointList(
            long call,
            long version,
            boolean complete,
            List<EndpointLine> lines,
            long history,
            String site) {}

    private DirectoryMessages() {}

    /** Encodes a gateway's identity; its number differs at every start. */
    public static Frame hello(long gateway, String name) {
        ByteBuf head = Unpooled.buffer(64).writeShort(VERSION).writeLong(gateway);
        FrameFields.string(head, name);
        return new Frame(HELLO, 0, head);
    }

    /** Encodes an endpoint list. */
    public static Frame list(EndpointList list) {
        ByteBuf head =
                Unpooled.buffer(64)
                        .writeLong(list.version())
                        .writeBoolean(list.complete())
                        .writeInt(list.lines().size());
        for (EndpointLine line : list.lines()) {
            writeLine(head, line);
        }
        FrameFields.string(head.writeLong(list.history()), list.site());
        return new Frame(LIST, list.call(), head);
    }

    /** Decodes an endpoint list. */
    public static EndpointList list(Frame frame) throws MalformedMessageException {
        ByteBuf head = FrameFields.requireHead(frame, 13);
        long version = head.readLong();
        boolean complete = head.readBoolean();
        int count = head.readInt();
        if (count < 0 || count > MAX_ENDPOINTS) {
            throw new MalformedMessageException(
                    "endpoint list of "
                            + Integer.toUnsignedString(count)
                            + " lines, expected at most "
                            + MAX_ENDPOINTS);
        }
        List<EndpointLine> lines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            lines.add(line(head));
        }
        if (head.readableBytes() < 8) {
            throw new MalformedMessageException("truncated endpoint list");
        }
        return new EndpointList(
                frame.id(), version, complete, lines, head.readLong(), FrameFields.string(head));
    }

    /** Encodes a node's entry of the endpoint list. */
    public static Frame register(EndpointLine line) {
        ByteBuf head = Unpooled.buffer(64);
        writeLine(head, line);
        return new Frame(REGISTER, 0, head);
    }

    /** Decodes one entry of the endpoint list. */
    public static EndpointLine line(ByteBuf from) throws MalformedMessageException {
        if (from.readableBytes() < 27) {
            throw new MalformedMessageException("truncated endpoint line");
        }
        int node = from.readInt();
        int cell = from.readInt();
        int zone = from.readUnsignedShort();
        int kind = from.readUnsignedShort();
        int phase = from.readUnsignedByte();
        long startedAt = from.readLong();
        float weight = from.readFloat();
        int port = from.readUnsignedShort();
        if (phase >= Phase.values().length || cell < 0) {
            throw new MalformedMessageException(
                    "invalid endpoint line with phase " + phase + " and cell " + cell);
        }
        return new EndpointLine(
                node,
                cell,
                zone,
                kind,
                Phase.values()[phase],
                startedAt,
                weight,
                FrameFields.string(from),
                port);
    }

    private static void writeLine(ByteBuf to, EndpointLine line) {
        to.writeInt(line.node())
                .writeInt(line.cell())
                .writeShort(line.zone())
                .writeShort(line.kind())
                .writeByte(line.phase().ordinal())
                .writeLong(line.startedAt())
                .writeFloat(line.weight())
                .writeShort(line.port());
        FrameFields.string(to, line.host());
    }

    /** Encodes a request for the cells that hold {@code count} extents, starting with the first. */
    public static Frame lookup(long call, int volume, long first, int count) {
        return new Frame(
                LOOKUP,
                call,
                Unpooled.buffer(16).writeInt(volume).writeLong(first).writeInt(count));
    }

    /**
     * Encodes the cells that hold consecutive extents; -1 stands for an extent without a holder.
     */
    public static Frame holders(long call, int[] cells) {
        ByteBuf head = Unpooled.buffer(4 + 4 * cells.length).writeInt(cells.length);
        for (int cell : cells) {
            head.writeInt(cell);
        }
        return new Frame(HOLDERS, call, head);
    }

    /**
     * Decodes the cells that hold consecutive extents; -1 stands for an extent without a holder.
     */
    public static int[] holders(Frame frame) throws MalformedMessageException {
        ByteBuf head = FrameFields.requireHead(frame, 4);
        int count = head.readInt();
        if (count < 0 || count > MAX_LOOKUP_EXTENTS || head.readableBytes() < 4L * count) {
            throw new MalformedMessageException(
                    "invalid list of holders of " + Integer.toUnsignedString(count) + " extents");
        }
        int[] cells = new int[count];
        for (int i = 0; i < count; i++) {
            cells[i] = head.readInt();
        }
        return cells;
    }

    /** Encodes a claim of an extent for a cell. */
    public static Frame claim(long call, int volume, long extent, int cell) {
        return new Frame(
                CLAIM, call, Unpooled.buffer(16).writeInt(volume).writeLong(extent).writeInt(cell));
    }

    /** Encodes the cell that holds a claimed extent. */
    public static Frame holder(long call, int cell) {
        return new Frame(HOLDER, call, Unpooled.buffer(4).writeInt(cell));
    }

    /** Encodes the reason why a call failed. */
    public static Frame failed(long call, String reason) {
        ByteBuf head = Unpooled.buffer(32);
        FrameFields.string(head, reason);
        return new Frame(FAILED, call, head);
    }
}
