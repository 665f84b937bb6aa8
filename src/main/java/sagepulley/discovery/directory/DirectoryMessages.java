package sagepulley.discovery.directory;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import sagepulley.codec.frame.Frame;
import sagepulley.codec.frame.FrameFields;
import sagepulley.codec.frame.MalformedMessageException;

/**
 * The messages to and from the directory, as frames (docs/protocols.md, Directory protocol). What
 * reads a frame leaves it to its owner, and throws on one that is malformed.
 */
public final class DirectoryMessages {
    /** From a gateway or node: who calls, and the protocol's version. */
    public static final int HELLO = 1;

    /** From a gateway: the list, and every change of it. */
    public static final int SUBSCRIBE = 2;

    /** From a gateway: the list, once. */
    public static final int FETCH = 3;

    /** From a gateway: which cells hold consecutive extents. */
    public static final int LOOKUP = 4;

    /** From a gateway: an extent is to be held by a cell, unless one holds it. */
    public static final int CLAIM = 5;

    /** From a node: its entry of the list. */
    public static final int REGISTER = 6;

    /** From the directory: the list, or what changed in it. */
    public static final int LIST = 17;

    /** From the directory: answers a lookup. */
    public static final int HOLDERS = 18;

    /** From the directory: answers a claim. */
    public static final int HOLDER = 19;

    /** From the directory: a call failed, with the reason. */
    public static final int FAILED = 20;

    /** The most extents of one lookup. */
    public static final int MAX_LOOKUP_EXTENTS = 1 << 16;

    private static final int VERSION = 1;

    private static final int MAX_ENDPOINTS = 1 << 14;

    /** What the list says of a node. The order is that of the numbers on the wire. */
    public enum Phase {
        GONE,
        READY,
        DRAINING
    }

    /**
     * An entry of the list.
     *
     * @param kind the node's hardware kind
     * @param startedAt when its incarnation started, in wall-clock milliseconds; 0 for long ago
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
     * The endpoint list, complete or what changed in it.
     *
     * @param call the call that it answers; 0 if it is pushed
     * @param version grows with every change within one history
     * @param complete whether nodes that are not named are gone
     * @param history the directory's incarnation in which the versions count
     * @param site the site of the directory; empty if it does not say
     */
    public record EndpointList(
            long call,
            long version,
            boolean complete,
            List<EndpointLine> lines,
            long history,
            String site) {}

    private DirectoryMessages() {}

    /** Says who calls: the number differs at every start of a gateway. */
    public static Frame hello(long gateway, String name) {
        ByteBuf head = Unpooled.buffer(64).writeShort(VERSION).writeLong(gateway);
        FrameFields.string(head, name);
        return new Frame(HELLO, 0, head);
    }

    /** Writes a list. */
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

    /** Reads a list. */
    public static EndpointList list(Frame frame) throws MalformedMessageException {
        ByteBuf head = FrameFields.requireHead(frame, 13);
        long version = head.readLong();
        boolean complete = head.readBoolean();
        int count = head.readInt();
        if (count < 0 || count > MAX_ENDPOINTS) {
            throw new MalformedMessageException(
                    "a list of " + Integer.toUnsignedString(count) + " lines");
        }
        List<EndpointLine> lines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            lines.add(line(head));
        }
        if (head.readableBytes() < 8) {
            throw new MalformedMessageException("a list is cut off");
        }
        return new EndpointList(
                frame.id(), version, complete, lines, head.readLong(), FrameFields.string(head));
    }

    /** Writes a node's entry of the list. */
    public static Frame register(EndpointLine line) {
        ByteBuf head = Unpooled.buffer(64);
        writeLine(head, line);
        return new Frame(REGISTER, 0, head);
    }

    /** Reads one entry of the list. */
    public static EndpointLine line(ByteBuf from) throws MalformedMessageException {
        if (from.readableBytes() < 27) {
            throw new MalformedMessageException("a line is cut off");
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
            throw new MalformedMessageException("a line that cannot be read");
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

    /** Asks for the cells that hold so many extents from the first on. */
    public static Frame lookup(long call, int volume, long first, int count) {
        return new Frame(
                LOOKUP,
                call,
                Unpooled.buffer(16).writeInt(volume).writeLong(first).writeInt(count));
    }

    /** Writes the cells that hold consecutive extents; -1 for none. */
    public static Frame holders(long call, int[] cells) {
        ByteBuf head = Unpooled.buffer(4 + 4 * cells.length).writeInt(cells.length);
        for (int cell : cells) {
            head.writeInt(cell);
        }
        return new Frame(HOLDERS, call, head);
    }

    /** Reads the cells that hold consecutive extents; -1 for none. */
    public static int[] holders(Frame frame) throws MalformedMessageException {
        ByteBuf head = FrameFields.requireHead(frame, 4);
        int count = head.readInt();
        if (count < 0 || count > MAX_LOOKUP_EXTENTS || head.readableBytes() < 4L * count) {
            throw new MalformedMessageException(
                    "holders of " + Integer.toUnsignedString(count) + " extents");
        }
        int[] cells = new int[count];
        for (int i = 0; i < count; i++) {
            cells[i] = head.readInt();
        }
        return cells;
    }

    /** Claims an extent for a cell. */
    public static Frame claim(long call, int volume, long extent, int cell) {
        return new Frame(
                CLAIM, call, Unpooled.buffer(16).writeInt(volume).writeLong(extent).writeInt(cell));
    }

    /** Writes the cell that holds a claimed extent. */
    public static Frame holder(long call, int cell) {
        return new Frame(HOLDER, call, Unpooled.buffer(4).writeInt(cell));
    }

    /** Writes why a call failed. */
    public static Frame failed(long call, String reason) {
        ByteBuf head = Unpooled.buffer(32);
        FrameFields.string(head, reason);
        return new Frame(FAILED, call, head);
    }
}
