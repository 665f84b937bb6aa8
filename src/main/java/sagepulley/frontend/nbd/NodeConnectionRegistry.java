package sagepulley.frontend.nbd;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.IntConsumer;
import sagepulley.engine.Clock;
import sagepulley.membership.EndpointRecord;
import sagepulley.membership.Membership;
import sagepulley.model.Node;
import sagepulley.upstream.frame.NodeConnection;
import sagepulley.upstream.frame.StoreMessages;

/**
 * Tracks the nodes that the membership names and the connection to each of them. A connection is
 * opened when an attempt or a probe needs it. Owns the connections; confined to the engine's event
 * loop.
 */
final class NodeConnectionRegistry {
    /** Receives the events of the nodes' connections. */
    interface Listener {
        /** Called when a node has answered an attempt. The listener owns the payload. */
        void answered(long attemptId, StoreMessages.Answer answer, ByteBuf payload);

        /** Called when an attempt has ended without an answer. */
        void failed(long attemptId, NodeConnection.ConnectionFailure failure);

        /** Returns whether an attempt that has waited for its connection may still start. */
        boolean mayStart(long attemptId);

        /** Called when a node has answered an attempt that was already cancelled. */
        void answeredAfterCancel(int nodeId, StoreMessages.Answer answer);

        /** Called when a node has answered a health check. */
        void healthReported(Node node, float[] loadReport);

        /**
         * Called when a node has completed the handshake. Returns whether the attempts that wait
         * for the connection may be sent.
         */
        boolean handshakeCompleted(Node node, StoreMessages.HandshakeReply reply);

        /** Called when a node has announced its graceful shutdown. */
        void draining(int nodeId);

        /** Called when a node's connection has closed or could not be opened. */
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

    /** A node, its connection and the incarnation of its latest handshake. */
    private final class RegisteredNode implements NodeConnection.Listener {
        final Node node;
        NodeConnection connection;

        /** Start of the incarnation in wall-clock milliseconds. */
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
        public boolean mayStart(long attemptId) {
            return listener.mayStart(attemptId);
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

    /** Clears the ready node of each cell. Called before all nodes are updated. */
    void beginUpdate() {
        readyByCell.clear();
    }

    /**
     * Applies the membership's view of a node. The connection is replaced if the node's address has
     * changed.
     */
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

    /** Returns the connection to a node that the membership has named. */
    NodeConnection connection(int nodeId) {
        return nodes.get(nodeId).connection;
    }

    /**
     * Returns the start of the node's incarnation, as named in its latest handshake, in wall-clock
     * milliseconds.
     */
    long startedAt(int nodeId) {
        return nodes.get(nodeId).startedAt;
    }

    /** Returns the id of the ready node of a cell; 0 if there is none. */
    int readyNodeOf(int cell) {
        Node node = readyByCell.get(cell);
        return node == null ? 0 : node.id;
    }

    /** Passes the cell of each node that is not removed to the consumer. */
    void forEachCell(IntConsumer consumer) {
        for (RegisteredNode registered : nodes.values()) {
            if (registered.node.phase != Node.Phase.REMOVED) {
                consumer.accept(registered.node.cell);
            }
        }
    }

    /** Closes all connections; the attempts in flight fail. */
    void close() {
        for (RegisteredNode registered : nodes.values()) {
            if (registered.connection != null) {
                registered.connection.close();
            }
        }
    }
}
