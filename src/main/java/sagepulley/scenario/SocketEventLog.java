package sagepulley.scenario;

import java.util.ArrayList;
import java.util.List;
import sagepulley.discovery.directory.DirectoryMessages;
import sagepulley.standin.TrafficRecorder;
import sagepulley.upstream.frame.StoreMessages;

/**
 * Records the traffic of one run at the sockets of nodes, directory and clients. Nothing is taken
 * from the gateways themselves. Times are System.nanoTime.
 *
 * <p>Recording is thread-safe. The lists are read under the lock of this object or after the run.
 */
public final class SocketEventLog implements TrafficRecorder {
    /** An attempt that reached a node. */
    public record AttemptReceived(int node, long gateway, StoreMessages.Send send, long at) {}

    /** An operation that a node executed. */
    public record OperationExecuted(int node, long gateway, StoreMessages.Send send, long at) {}

    /** An answer to an attempt; lost is true if a fault withheld it from the gateway. */
    public record AttemptAnswered(
            int node,
            long gateway,
            long operationId,
            int attemptNumber,
            StoreMessages.Code code,
            boolean lost,
            long at) {}

    /** A cancellation of an attempt by its gateway. */
    public record AttemptCancelled(
            int node, long gateway, long operationId, int attemptNumber, long at) {}

    /** A start of a node. Its warm capacity in units per second is NaN if it started warm. */
    public record NodeStarted(int node, double unitsPerSecond, long at) {}

    /** An overload collapse of a node. */
    public record NodeCollapsed(int node, long at) {}

    /** An endpoint list that a gateway was sent, complete or only the changed lines. */
    public record EndpointListSent(
            long gateway, boolean complete, List<DirectoryMessages.EndpointLine> lines, long at) {}

    /** An incarnation of a gateway, from its start until it is killed. */
    public static final class GatewayIncarnation {
        public final int index;
        public final long gateway;
        public final long startedAt;
        public volatile long endedAt = Long.MAX_VALUE;

        GatewayIncarnation(int index, long gateway, long startedAt) {
            this.index = index;
            this.gateway = gateway;
            this.startedAt = startedAt;
        }
    }

    /** A client request and its outcome. The replies field counts the final answers. */
    public static final class ClientRequest {
        public final long gateway;
        public final int volume;
        public final StoreMessages.Kind kind;
        public final int trafficClass;
        public final long offset;
        public final int length;
        public final long sentAt;
        public volatile long endedAt;
        public volatile int error;
        public volatile int replies;

        /** Set if the connection ended before the answer; no answer is due then. */
        public volatile boolean connectionLost;

        ClientRequest(
                long gateway,
                int volume,
                StoreMessages.Kind kind,
                int trafficClass,
                long offset,
                int length,
                long sentAt) {
            this.gateway = gateway;
            this.volume = volume;
            this.kind = kind;
            this.trafficClass = trafficClass;
            this.offset = offset;
            this.length = length;
            this.sentAt = sentAt;
        }
    }

    final List<AttemptReceived> received = new ArrayList<>();
    final List<OperationExecuted> executed = new ArrayList<>();
    final List<AttemptAnswered> answered = new ArrayList<>();
    final List<AttemptCancelled> cancelled = new ArrayList<>();
    final List<NodeStarted> nodeStarts = new ArrayList<>();
    final List<NodeCollapsed> collapses = new ArrayList<>();
    final List<EndpointListSent> listsSent = new ArrayList<>();
    final List<GatewayIncarnation> incarnations = new ArrayList<>();
    final List<ClientRequest> requests = new ArrayList<>();

    @Override
    public synchronized void attemptReceived(
            int node, long gateway, StoreMessages.Send send, long nanos) {
        received.add(new AttemptReceived(node, gateway, send, nanos));
    }

    @Override
    public synchronized void operationExecuted(
            int node, long gateway, StoreMessages.Send send, long nanos) {
        executed.add(new OperationExecuted(node, gateway, send, nanos));
    }

    @Override
    public synchronized void attemptAnswered(
            int node,
            long gateway,
            long operationId,
            int attemptNumber,
            StoreMessages.Code code,
            boolean lost,
            long nanos) {
        answered.add(
                new AttemptAnswered(node, gateway, operationId, attemptNumber, code, lost, nanos));
    }

    @Override
    public synchronized void attemptCancelled(
            int node, long gateway, long operationId, int attemptNumber, long nanos) {
        cancelled.add(new AttemptCancelled(node, gateway, operationId, attemptNumber, nanos));
    }

    @Override
    public synchronized void nodeStarted(int node, double unitsPerSecond, long nanos) {
        nodeStarts.add(new NodeStarted(node, unitsPerSecond, nanos));
    }

    @Override
    public synchronized void nodeCollapsed(int node, long nanos) {
        collapses.add(new NodeCollapsed(node, nanos));
    }

    @Override
    public synchronized void endpointListSent(
            long gateway,
            boolean complete,
            List<DirectoryMessages.EndpointLine> lines,
            long nanos) {
        listsSent.add(new EndpointListSent(gateway, complete, List.copyOf(lines), nanos));
    }

    /** Records the start of a gateway and returns its incarnation. */
    public synchronized GatewayIncarnation gatewayStarted(int index, long gateway, long nanos) {
        GatewayIncarnation incarnation = new GatewayIncarnation(index, gateway, nanos);
        incarnations.add(incarnation);
        return incarnation;
    }

    /** Records a client request. The caller records the answer in the returned object. */
    public synchronized ClientRequest requestSent(
            long gateway,
            int volume,
            StoreMessages.Kind kind,
            int trafficClass,
            long offset,
            int length,
            long nanos) {
        ClientRequest request =
                new ClientRequest(gateway, volume, kind, trafficClass, offset, length, nanos);
        requests.add(request);
        return request;
    }
}
