package sagepulley.frontend.nbd;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import sagepulley.engine.Clock;
import sagepulley.membership.EndpointRecord;
import sagepulley.membership.Membership;
import sagepulley.model.Node;
import sagepulley.upstream.frame.NodeConnection;
import sagepulley.upstream.frame.StoreMessages;

/**
 * The nodes that membership names, each with its connection, which opens when an attempt needs it.
 * Owns the connections; confined to the engine's event loop.
 */
final class NodeConnectionRegistry {
    /** Receives what the nodes' connections bring. */
    interface Listener {
        /** A node answered an attempt; the listener owns the payload. */
        void answered(long attemptId, StoreMessages.Answer answer, ByteBuf payload);

        /** An attempt ended without an answer. */
        void failed(long attemptId, NodeConnection.ConnectionFailure failure);

        /** A node answered an attempt that had been cancelled. */
        void answeredAfterCancel(int nodeId, StoreMessages.Answer answer);

        /** A node answered a health check. */
        void healthReported(Node node, float[] loadReport);

        /** A node has said who it is; false if attempts that wait must not go out to it. */
        boolean handshakeCompleted(Node node, StoreMessages.HandshakeReply reply);

        /** A node announced its graceful shutdown. */
        void draining(int nodeId);

        /** A node's connection ended, or could not be opened. */
        void disconnected(int nodeId);
    }

    private final EventLoop loop;
    private final Class<? extends Channel> channelType;
    private final int maxPayloadBytes;
    private final StoreMessages.Hello hello;
    private final Clock clock;
    private final Listener listener;
    private final Map<Integer, RegisteredNode> nodes = new LinkedHashMap<>();

    /** The ready node of each cell. */
    private final Map<Integer, Node> readyByCell = new HashMap<>();

    NodeConnectionRegistry(
            EventLoop loop,
            Class<? extends Channel> channelType,
            int maxPayloadBytes,
            StoreMessages.Hello hello,
            Clock clock,
            Listener listener) {
        this.loop = loop;
        this.channelType = channelType;
        this.maxPayloadBytes = maxPayloadBytes;
        this.hello = hello;
        this.clock = clock;
        this.listener = listener;
    }

    /** A node with its connection, and the incarnation that the last handshake named. */
    private final class RegisteredNode implements NodeConnection.Listener {
        final Node node;
        NodeConnection connection;

        /** Wall-clock milliseconds. */
        long startedAt;

        RegisteredNode(int id) {
            node = new Node(id);
        }

        @Override
        public void answered(long attemptId, StoreMessages.Answer answer, ByteBuf payload) {
            listener.answered(attemptId, answer, payload);
        }

        @Override
        public void failed(long attemptId, NodeConnection.ConnectionFailure failure) {
            listener.failed(attemptId, failure);
        }

        @Override
        public void answeredAfterCancel(StoreMessages.Answer answer) {
            listener.answeredAfterCancel(node.id, answer);
        }

        @Override
        public void healthReported(long id, float[] loadReport) {
            listener.healthReported(node, loadReport);
        }

        @Override
        public boolean handshakeCompleted(StoreMessages.HandshakeReply reply) {
            startedAt = reply.startedAt();
            return listener.handshakeCompleted(node, reply);
        }

        @Override
        public void draining() {
            listener.draining(node.id);
        }

        @Override
        public void disconnected() {
            listener.disconnected(node.id);
        }
    }

    /** Forgets which node of each cell is ready, before all are updated. */
    void beginUpdate() {
        readyByCell.clear();
    }

    /** Takes over membership's view of a node; a changed address closes its connection. */
    Node update(Membership.MemberView member) {
        EndpointRecord endpoint = member.endpoint();
        RegisteredNode registered = nodes.computeIfAbsent(endpoint.node(), RegisteredNode::new);
        Node node = registered.node;
        node.cell = endpoint.cell();
        node.zone = endpoint.zone();
        node.kind = endpoint.kind();
        node.weight = endpoint.weight();
        node.startedAt = clock.fromWallClock(endpoint.startedAt());
        node.acceptsNewObjects = member.acceptsNewObjects();
        node.phase =
                switch (member.phase()) {
                    case READY -> Node.Phase.READY;
                    case DRAINING -> Node.Phase.DRAINING;
                    case REMOVED -> Node.Phase.REMOVED;
                };
        connectTo(registered, new InetSocketAddress(endpoint.host(), endpoint.port()));
        if (node.phase == Node.Phase.READY) {
            readyByCell.put(node.cell, node);
        }
        return node;
    }

    private void connectTo(RegisteredNode registered, SocketAddress address) {
        NodeConnection current = registered.connection;
        if (current != null && current.address().equals(address)) {
            return;
        }
        if (current != null) {
            current.close();
        }
        registered.connection =
                new NodeConnection(
                        loop,
                        channelType,
                        maxPayloadBytes,
                        registered.node.id,
                        address,
                        hello,
                        registered);
    }

    /** The connection to a node that membership has named. */
    NodeConnection connection(int nodeId) {
        return nodes.get(nodeId).connection;
    }

    /** When the node's current incarnation started, in wall-clock milliseconds. */
    long startedAt(int nodeId) {
        return nodes.get(nodeId).startedAt;
    }

    /** The id of the ready node of a cell; 0 if none is. */
    int readyNodeOf(int cell) {
        Node node = readyByCell.get(cell);
        return node == null ? 0 : node.id;
    }

    /** Closes all connections; attempts in flight fail. */
    void close() {
        for (RegisteredNode registered : nodes.values()) {
            if (registered.connection != null) {
                registered.connection.close();
            }
        }
    }
}
