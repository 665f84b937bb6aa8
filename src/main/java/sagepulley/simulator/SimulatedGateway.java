package sagepulley.simulator;

import sagepulley.engine.DecisionSink;
import sagepulley.engine.GatewayEngine;
import sagepulley.model.Attempt;
import sagepulley.model.Deployment;
import sagepulley.model.Node;
import sagepulley.model.Operation;
import sagepulley.model.RoutingDecision;

/** A gateway of the simulation, which writes its decisions to its reply. */
final class SimulatedGateway implements DecisionSink {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final long MAX_WAKE_UP_NANOS = 70L * 60 * 1_000_000_000;

    final ReplyWriter reply;
    final GatewayEngine engine;

    /**
     * Whether the current batch has an event for the gateway that is not processed by {@link
     * #runDueWork} yet.
     */
    boolean hasEvents;

    /** When the latest scheduled wake-up is due, in nanoseconds. */
    private long wakeUpAtNanos = Long.MAX_VALUE;

    private long wakeUpToken;
    private long nowNanos;

    SimulatedGateway(ReplyWriter reply, Deployment deployment, long seed) {
        this.reply = reply;
        this.engine = new GatewayEngine(deployment, seed, this);
    }

    /** Processes a wake-up; all but the latest scheduled one are ignored. */
    void onTimer(long token) {
        if (token == wakeUpToken) {
            wakeUpAtNanos = Long.MAX_VALUE;
        }
    }

    /** Runs the engine's due work after the events of a batch. */
    void runDueWork(double now, long clockNanos) {
        nowNanos = clockNanos;
        engine.runDueWork(now);
    }

    @Override
    public void send(Attempt attempt, double timeout) {
        reply.send(
                attempt.operation.id,
                attempt.node.id,
                Math.max(1, (long) (timeout * NANOS_PER_MILLI)));
    }

    @Override
    public void endUnserved(Operation operation, RoutingDecision decision) {
        if (decision.kind() == RoutingDecision.Kind.REJECT) {
            reply.reject(operation.id, (long) (decision.retryAfter() * NANOS_PER_MILLI));
        } else {
            reply.abandon(operation.id);
        }
    }

    @Override
    public void cancel(Attempt attempt) {
        reply.cancel(attempt.operation.id, attempt.number);
    }

    @Override
    public void checkHealth(Node node) {
        reply.checkHealth(node.id);
    }

    @Override
    public void openWatch() {
        reply.openWatch();
    }

    @Override
    public void pollEndpointList() {
        reply.pollEndpointList();
    }

    @Override
    public void scheduleWakeUp(double delay, double now) {
        if (delay < Double.POSITIVE_INFINITY) {
            long nanos = Math.max(1, (long) Math.ceil(delay * NANOS_PER_MILLI));
            long offset = Math.min(MAX_WAKE_UP_NANOS, nanos);
            if (nowNanos + offset < wakeUpAtNanos) {
                wakeUpAtNanos = nowNanos + offset;
                reply.wakeUp(++wakeUpToken, offset);
            }
        }
    }
}
