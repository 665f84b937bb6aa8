package sagepulley.discovery.directory;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import sagepulley.codec.frame.Frame;
import sagepulley.codec.frame.FrameFields;
import sagepulley.codec.frame.MalformedMessageException;

/** The messages to and from the directory, as frames (docs/protocols.md, Directory protocol). */
public final class DirectoryMessages {
    /** From a gateway or node. */
    public static final int HELLO = 1;

    public static final int SUBSCRIBE = 2;
    public static final int FETCH = 3;
    public static final int LOOKUP = 4;
    public static final int CLAIM = 5;
    public static final int REGISTER = 6;

    /** From the directory. */
    public static final int LIST = 17;

    public static final int HOLDERS = 18;
    public static final int HOLDER = 19;
    public static final int FAILED = 20;

    /** Extents of one look-up at most. */
    public static final int MAX_LOOKUP_EXTENTS = 1 << 16;

    private static final int MAX_ENDPOINTS = 1 << 14;

    /** What the list says of a node. */
    public enum Phase {
        GONE,
        READY,
        DRAINING
    }

    /** A line of the list. The start is wall-clock milliseconds, 0 for long ago. */
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
     * The list, whole or what changed; it answers a call or is pushed (call 0). The directory says
     * of which site it is (empty: it does not), and which history of its own the version counts in.
     */
    public record EndpointList(
            long call,
            long version,
            boolean complete,
            List<EndpointLine> lines,
            long history,
            String site) {}

    private DirectoryMessages() {}

    public static Frame hello(long gateway, String name) {
        ByteBuf head = Unpooled.buffer(64).writeShort(1).writeLong(gateway);
        FrameFields.string(head, name);
        return new Frame(HELLO, 0, head);
    }

    public static Frame list(EndpointList it) {
        ByteBuf head =
                Unpooled.buffer(64)
                        .writeLong(it.version())
                        .writeBoolean(it.complete())
                        .writeInt(it.lines().size());
        for (EndpointLine line : it.lines()) {
            line(head, line);
        }
        FrameFields.string(head.writeLong(it.history()), it.site());
        return new Frame(LIST, it.call(), head);
    }

    public static EndpointList list(Frame frame) throws MalformedMessageException {
        ByteBuf head = FrameFields.requireHead(frame, 13);
        long version = head.readLong();
        boolean whole = head.readBoolean();
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
                frame.id(), version, whole, lines, head.readLong(), FrameFields.string(head));
    }

    public static Frame register(EndpointLine line) {
        ByteBuf head = Unpooled.buffer(64);
        line(head, line);
        return new Frame(REGISTER, 0, head);
    }

    public static EndpointLine line(ByteBuf from) throws MalformedMessageException {
        if (from.readableBytes() < 27) {
            throw new MalformedMessageException("a line is cut off");
        }
        int node = from.readInt();
        int cell = from.readInt();
        int zone = from.readUnsignedShort();
        int kind = from.readUnsignedShort();
        int standing = from.readUnsignedByte();
        long startedAt = from.readLong();
        float weight = from.readFloat();
        int port = from.readUnsignedShort();
        if (standing >= Phase.values().length || cell < 0) {
            throw new MalformedMessageException("a line that cannot be read");
        }
        return new EndpointLine(
                node,
                cell,
                zone,
                kind,
                Phase.values()[standing],
                startedAt,
                weight,
                FrameFields.string(from),
                port);
    }

    private static void line(ByteBuf to, EndpointLine line) {
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

    public static Frame lookup(long call, int volume, long first, int count) {
        return new Frame(
                LOOKUP,
                call,
                Unpooled.buffer(16).writeInt(volume).writeLong(first).writeInt(count));
    }

    /** The cells that hold extents in a row; -1 for none. */
    public static Frame holders(long call, int[] cells) {
        ByteBuf head = Unpooled.buffer(4 + 4 * cells.length).writeInt(cells.length);
        for (int cell : cells) {
            head.writeInt(cell);
        }
        return new Frame(HOLDERS, call, head);
    }

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

    public static Frame claim(long call, int volume, long extent, int cell) {
        return new Frame(
                CLAIM, call, Unpooled.buffer(16).writeInt(volume).writeLong(extent).writeInt(cell));
    }

    public static Frame holder(long call, int cell) {
        return new Frame(HOLDER, call, Unpooled.buffer(4).writeInt(cell));
    }

    public static Frame failed(long call, String why) {
        ByteBuf head = Unpooled.buffer(32);
        FrameFields.string(head, why);
        return new Frame(FAILED, call, head);
    }
}
