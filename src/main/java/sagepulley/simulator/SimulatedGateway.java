package sagepulley.simulator;

import sagepulley.engine.DecisionSink;
import sagepulley.engine.GatewayEngine;
import sagepulley.model.Attempt;
import sagepulley.model.Deployment;
import sagepulley.model.Node;
import sagepulley.model.Operation;
import sagepulley.model.RoutingDecision;

/** One instance on the wire: what is decided for it goes into its reply. */
final class SimulatedGateway implements DecisionSink {
    private static final double NS = 1e6;
    private static final long LONGEST_WAKE_NS = 70L * 60 * 1_000_000_000;

    final ReplyWriter reply;
    final GatewayEngine engine;

    /** Set while the instance has an event in the batch at hand. */
    boolean called;

    private long wakeNs = Long.MAX_VALUE;
    private long cookie;
    private long nowNs;

    SimulatedGateway(ReplyWriter reply, Deployment deployment, long seed) {
        this.reply = reply;
        this.engine = new GatewayEngine(deployment, seed, this);
    }

    void timer(long token) {
        if (token == cookie) {
            wakeNs = Long.MAX_VALUE;
        }
    }

    /** After the events of a batch. */
    void settle(double now, long clockNs) {
        nowNs = clockNs;
        engine.runDueWork(now);
    }

    @Override
    public void send(Attempt attempt, double timeout) {
        reply.send(attempt.operation.id, attempt.node.id, Math.max(1, (long) (timeout * NS)));
    }

    @Override
    public void endUnserved(Operation operation, RoutingDecision decision) {
        if (decision.kind() == RoutingDecision.Kind.REJECT) {
            reply.decline(operation.id, (long) (decision.retryAfter() * NS));
        } else {
            reply.scrap(operation.id);
        }
    }

    @Override
    public void cancel(Attempt attempt) {
        reply.callOff(attempt.operation.id, attempt.number);
    }

    @Override
    public void checkHealth(Node node) {
        reply.probe(node.id);
    }

    @Override
    public void openWatch() {
        reply.subscribe();
    }

    @Override
    public void pollEndpointList() {
        reply.fetch();
    }

    @Override
    public void scheduleWakeUp(double pause, double now) {
        if (pause < Double.POSITIVE_INFINITY) {
            long offset = Math.min(LONGEST_WAKE_NS, Math.max(1, (long) Math.ceil(pause * NS)));
            if (nowNs + offset < wakeNs) {
                wakeNs = nowNs + offset;
                reply.wake(++cookie, offset);
            }
        }
    }
}
