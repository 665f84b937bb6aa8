package sagepulley.scenario;

import java.util.ArrayList;
import java.util.List;
import sagepulley.discovery.directory.DirectoryMessages;
import sagepulley.standin.TrafficRecorder;
import sagepulley.upstream.frame.StoreMessages;

/**
 * What was recorded at the sockets of nodes, directory and clients; nothing that gateways say of
 * themselves. Thread-safe; lists are read under its lock or once a run is over.
 */
public final class SocketEventLog implements TrafficRecorder {
    /** An attempt at a node. */
    public record AttemptReceived(int node, long gateway, StoreMessages.Send send, long at) {}

    /** An operation's work began. */
    public record OperationExecuted(int node, long gateway, StoreMessages.Send send, long at) {}

    /** An attempt's answer, which may have been lost by a fault. */
    public record AttemptAnswered(
            int node,
            long gateway,
            long operationId,
            int attemptNumber,
            StoreMessages.Code code,
            boolean lost,
            long at) {}

    /** An attempt that its gateway cancelled. */
    public record AttemptCancelled(int node, long gateway, long operationId, int attemptNumber, long at) {}

    /** A node's start; its capacity in units a second is NaN where it started warm. */
    public record NodeStarted(int node, double unitsPerSecond, long at) {}

    /** A node collapsed under overload. */
    public record NodeCollapsed(int node, long at) {}

    /** What a gateway was sent of the endpoint list. */
    public record EndpointListSent(
            long gateway, boolean complete, List<DirectoryMessages.EndpointLine> lines, long at) {}

    /** A gateway's incarnation, from its opening to its kill. */
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

    /** A client's request, and what came of it; replies count its final answers. */
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

        /** Its connection ended: no answer is due. */
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
        answered.add(new AttemptAnswered(node, gateway, operationId, attemptNumber, code, lost, nanos));
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

    /** A gateway was opened. */
    public synchronized GatewayIncarnation gatewayStarted(int index, long gateway, long nanos) {
        GatewayIncarnation incarnation = new GatewayIncarnation(index, gateway, nanos);
        incarnations.add(incarnation);
        return incarnation;
    }

    /** A client sends a request; its answer is recorded in what this returns. */
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
