package sagepulley.engine;

import sagepulley.model.Node;

/** One line of a list of nodes. */
public record EndpointEntry(
        int zone,
        int cell,
        int store,
        Node.Phase standing,
        double startedAt,
        int kind,
        double weight) {

    void copyTo(Node node) {
        node.zone = zone;
        node.cell = cell;
        node.standing = standing;
        node.startedAt = startedAt;
        node.kind = kind;
        node.weight = weight;
    }
}
