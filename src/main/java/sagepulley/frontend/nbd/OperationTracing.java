package sagepulley.frontend.nbd;

import java.util.ArrayList;
import java.util.List;
import sagepulley.accounts.Accounts;
import sagepulley.accounts.Cause;
import sagepulley.accounts.OperationTimer;
import sagepulley.engine.Clock;
import sagepulley.model.Attempt;
import sagepulley.model.ExternalName;
import sagepulley.model.Operation;
import sagepulley.model.Reason;
import sagepulley.tracing.OperationTrace;
import sagepulley.tracing.TailSampler;
import sagepulley.tracing.Tracer;

/**
 * Records the traces of sampled operations that have ended. Confined to the engine's event loop.
 */
final class OperationTracing {
    private final String gatewayName;
    private final Clock clock;
    private final TailSampler sampler;

    /** Null if tracing is disabled. */
    private final Tracer tracer;

    OperationTracing(String gatewayName, Clock clock, TailSampler sampler, Tracer tracer) {
        this.gatewayName = gatewayName;
        this.clock = clock;
        this.sampler = sampler;
        this.tracer = tracer;
    }

    /**
     * Records the trace of a part that ended at {@code now} (engine milliseconds) if it is sampled.
     */
    void recordIfSampled(RequestPart part, Accounts.End end, Reason reason, double now) {
        if (tracer == null || part.timer == null) {
            return;
        }
        Operation operation = part.operation;
        double duration = now - operation.arrivedAt;
        boolean missedObjective =
                end != Accounts.End.SERVED || duration > operation.trafficClass.latencyObjective();
        double weight =
                sampler.sample(end, missedObjective, operation.trafficClass.index(), duration, now);
        if (weight > 0) {
            tracer.submit(trace(part, end, reason, duration, weight));
        }
    }

    private OperationTrace trace(
            RequestPart part, Accounts.End end, Reason reason, double duration, double weight) {
        Operation operation = part.operation;
        return new OperationTrace(
                gatewayName,
                operation.id,
                part.request.command.cookie(),
                part.request.volume.settings.name(),
                operation.trafficClass.name(),
                toText(part.kind),
                part.extent,
                operation.units,
                clock.toWallClock(operation.arrivedAt),
                duration,
                end,
                reason,
                describe(part.timer.mainCause()),
                sampler.reason(),
                weight,
                steps(part.timer),
                attempts(operation));
    }

    private static List<OperationTrace.Step> steps(OperationTimer timer) {
        List<OperationTrace.Step> steps = new ArrayList<>(timer.stepCount());
        for (int i = 0; i < timer.stepCount(); i++) {
            steps.add(
                    new OperationTrace.Step(timer.step(i), timer.stepNode(i), timer.stepMillis(i)));
        }
        return steps;
    }

    private static List<OperationTrace.Attempt> attempts(Operation operation) {
        List<OperationTrace.Attempt> attempts = new ArrayList<>(operation.attempts.size());
        for (Attempt attempt : operation.attempts) {
            attempts.add(
                    new OperationTrace.Attempt(
                            attempt.number,
                            attempt.node.id,
                            attempt.quotaTier,
                            attempt.sentAt - operation.arrivedAt,
                            attempt.duration,
                            attempt.outcome));
        }
        return attempts;
    }

    private static String describe(Cause cause) {
        if (cause == null) {
            return "";
        }
        return toText(cause.kind())
                + (cause.volume() == 0 ? "" : ", volume " + cause.volume())
                + (cause.node() == 0 ? "" : ", node " + cause.node())
                + (cause.isEstimated() ? ", estimate" : "");
    }

    /** Returns a constant's external name with spaces in place of underscores. */
    static String toText(Enum<?> constant) {
        return ExternalName.of(constant).replace('_', ' ');
    }
}
