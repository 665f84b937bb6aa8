package sagepulley.tracing;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanBuilder;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.context.Context;
import java.util.concurrent.TimeUnit;
import sagepulley.accounts.Accounts;
import sagepulley.model.ExternalName;

/**
 * Records an operation's trace as spans: a root span for the operation, with a child span for each
 * attempt and each step. Defines the names of spans and attributes, which are also the keys of the
 * traces file.
 */
final class SpanRecorder {
    private static final double NANOS_PER_MILLI = 1e6;

    private final Tracer tracer;

    SpanRecorder(Tracer tracer) {
        this.tracer = tracer;
    }

    void record(OperationTrace trace, Context parent) {
        Span operation = startOperationSpan(trace, parent);
        Context context = parent.with(operation);
        double end = trace.arrivedAt() + trace.duration();
        for (OperationTrace.Attempt attempt : trace.attempts()) {
            recordAttempt(attempt, trace.arrivedAt(), end, context);
        }
        double stepStart = trace.arrivedAt();
        for (OperationTrace.Step step : trace.steps()) {
            recordStep(step, stepStart, context);
            stepStart += step.duration();
        }
        if (trace.end() == Accounts.End.ABANDONED || trace.end() == Accounts.End.REJECTED) {
            operation.setStatus(StatusCode.ERROR, ExternalName.of(trace.reason()));
        }
        operation.end(toNanos(end), TimeUnit.NANOSECONDS);
    }

    private Span startOperationSpan(OperationTrace trace, Context parent) {
        return spanBuilderAt("operation", parent, trace.arrivedAt())
                .setAttribute("gateway", trace.gateway())
                .setAttribute("operation", trace.operation())
                .setAttribute("cookie", trace.cookie())
                .setAttribute("volume", trace.volume())
                .setAttribute("band", trace.trafficClass())
                .setAttribute("kind", trace.kind())
                .setAttribute("extent", trace.extent())
                .setAttribute("units", trace.units())
                .setAttribute("result", ExternalName.of(trace.end()))
                .setAttribute("reason", ExternalName.of(trace.reason()))
                .setAttribute("main_cause", trace.mainCause())
                .setAttribute("kept", ExternalName.of(trace.sampleReason()))
                .setAttribute("stands_for", trace.sampleWeight())
                .startSpan();
    }

    private void recordAttempt(
            OperationTrace.Attempt attempt,
            double arrivedAt,
            double operationEnd,
            Context context) {
        boolean inFlight = attempt.outcome() == null;
        double sentAt = arrivedAt + attempt.sentAfter();
        String quotaTier = attempt.quotaTier() == null ? "" : ExternalName.of(attempt.quotaTier());
        spanBuilderAt("hop", context, sentAt)
                .setAttribute("number", attempt.number())
                .setAttribute("node", attempt.node())
                .setAttribute("owed", quotaTier)
                .setAttribute("result", inFlight ? "out" : ExternalName.of(attempt.outcome()))
                .startSpan()
                .end(
                        toNanos(inFlight ? operationEnd : sentAt + attempt.duration()),
                        TimeUnit.NANOSECONDS);
    }

    private void recordStep(OperationTrace.Step step, double startedAt, Context context) {
        spanBuilderAt("step", context, startedAt)
                .setAttribute("spent", ExternalName.of(step.component()))
                .setAttribute("node", step.node())
                .startSpan()
                .end(toNanos(startedAt + step.duration()), TimeUnit.NANOSECONDS);
    }

    private SpanBuilder spanBuilderAt(String name, Context parent, double wallClockMillis) {
        return tracer.spanBuilder(name)
                .setParent(parent)
                .setStartTimestamp(toNanos(wallClockMillis), TimeUnit.NANOSECONDS);
    }

    private static long toNanos(double wallClockMillis) {
        return (long) (wallClockMillis * NANOS_PER_MILLI);
    }
}
