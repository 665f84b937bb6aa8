package sagepulley.simhost;

import java.nio.ByteBuffer;
import sagepulley.model.Node;

/** One line of a list of nodes, as the wire has it. */
record ListEntry(int zone, int cell, int store, Node.Standing standing, double startedAt, int kind,
                 double weight) {

    /** Reads an entry; null if its phase is unknown. */
    static ListEntry read(ByteBuffer from) {
        int zone = from.getShort() & 0xffff;
        int cell = from.getShort() & 0xffff;
        int store = from.getInt();
        int phase = from.get();
        long started = from.getLong();
        int kind = from.get() & 0xff;
        float weight = from.getFloat();
        if (phase < 0 || phase > 2) {
            return null;
        }
        Node.Standing standing = switch (phase) {
            case 1 -> Node.Standing.READY;
            case 2 -> Node.Standing.DRAINING;
            default -> Node.Standing.GONE;
        };
        return new ListEntry(zone, cell, store, standing,
                started == 0 ? Double.NEGATIVE_INFINITY : started / 1e6, kind, weight);
    }

    void copyTo(Node node) {
        node.zone = zone;
        node.cell = cell;
        node.standing = standing;
        node.startedAt = startedAt;
        node.kind = kind;
        node.weight = weight;
    }
}
