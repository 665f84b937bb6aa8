package sagepulley.scenario;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import sagepulley.codec.frame.EventLoops;
import sagepulley.standin.StandInNode;
import sagepulley.upstream.frame.NodeConnection;
import sagepulley.upstream.frame.StoreMessages;

/** A client with connections of its own to the nodes, past any gateway. Used on one loop. */
final class DirectClient {
    private static final long CLIENT_ID = 99;

    /** A volume of its own, so that its write tokens are not the gateway's. */
    private static final int VOLUME = 2;

    private final List<NodeLink> links = new ArrayList<>();
    private long attempts;

    DirectClient(List<StandInNode> nodes, int extentBytes, EventLoop loop) {
        for (StandInNode node : nodes) {
            links.add(new NodeLink(node, extentBytes, loop));
        }
    }

    /** Sends one read or write; its end is reported as success or failure. */
    void send(
            boolean isRead,
            int extent,
            int offset,
            int bytes,
            ByteBuf data,
            Consumer<Boolean> onEnd) {
        NodeLink link = links.get(extent % links.size());
        long attempt = ++attempts;
        link.callbacks.put(attempt, onEnd);
        link.connection.send(
                attempt,
                new StoreMessages.Send(
                        isRead ? StoreMessages.Kind.READ : StoreMessages.Kind.WRITE,
                        0,
                        false,
                        0,
                        attempt,
                        0,
                        VOLUME,
                        extent,
                        offset,
                        bytes,
                        1,
                        0),
                isRead ? Unpooled.EMPTY_BUFFER : data.retainedDuplicate());
    }

    private static final class NodeLink implements NodeConnection.Listener {
        final NodeConnection connection;
        final Map<Long, Consumer<Boolean>> callbacks = new HashMap<>();

        NodeLink(StandInNode node, int extentBytes, EventLoop loop) {
            connection =
                    new NodeConnection(
                            loop,
                            EventLoops.socket(),
                            extentBytes,
                            node.profile().id(),
                            node.address(),
                            new StoreMessages.Hello(CLIENT_ID, "direct"),
                            this);
        }

        @Override
        public void answered(long attempt, StoreMessages.Answer answer, ByteBuf payload) {
            payload.release();
            callbacks.remove(attempt).accept(answer.code() == StoreMessages.Code.SERVED);
        }

        @Override
        public void failed(long attempt, NodeConnection.ConnectionFailure failure) {
            callbacks.remove(attempt).accept(false);
        }

        @Override
        public void healthReported(long id, float[] loadReport) {
            // no health check is sent
        }

        @Override
        public boolean handshakeCompleted(StoreMessages.HandshakeReply reply) {
            // whoever answers at the node's address is used
            return true;
        }
    }
}
