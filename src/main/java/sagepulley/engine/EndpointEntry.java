package sagepulley.engine;

import sagepulley.model.Node;

/**
 * One entry of an endpoint list.
 *
 * @param startedAt when the endpoint started, in milliseconds; negative infinity for long ago
 * @param weight capacity relative to other endpoints
 */
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
