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

/** Sends reads and writes to the nodes directly, without a gateway. Confined to one event loop. */
final class DirectClient {
    private static final long CLIENT_ID = 99;

    /** Differs from the gateway's volume, so that the write tokens do not conflict. */
    private static final int VOLUME = 2;

    private final List<NodeLink> links = new ArrayList<>();
    private long attempts;

    DirectClient(List<StandInNode> nodes, int extentBytes, EventLoop loop) {
        for (StandInNode node : nodes) {
            links.add(new NodeLink(node, extentBytes, loop));
        }
    }

    /** Sends one read or write. The callback receives whether it was served. */
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
            // This client sends no health checks.
        }

        @Override
        public boolean handshakeCompleted(StoreMessages.HandshakeReply reply) {
            // Accepts any node that answers at the address.
            return true;
        }
    }
}
