package sagepulley.engine;

import sagepulley.model.Node;

/** One line of a list of nodes. */
public record EndpointEntry(
        int zone, int cell, int node, Node.Phase phase, double startedAt, int kind, double weight) {

    void copyTo(Node node) {
        node.zone = zone;
        node.cell = cell;
        node.phase = phase;
        node.startedAt = startedAt;
        node.kind = kind;
        node.weight = weight;
    }
}
