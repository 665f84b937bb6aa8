package sagepulley.tracing;

import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanBuilder;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.context.Context;
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.SdkTracerProviderBuilder;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.time.Duration;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import sagepulley.accounts.Accounts;
import sagepulley.config.TracingSettings;
import sagepulley.model.ExternalName;

/**
 * Makes traces of stories that were found worth keeping, on a thread of its own, and sends them to
 * a file and an OTLP receiver. What neither can take in time is dropped and counted; no operation
 * ever waits for it.
 */
public final class Tracer implements AutoCloseable {
    private static final int MOST_WAITING = 1024;
    private static final int MOST_SPANS = 8192;
    private static final Duration LONGEST_EXPORT = Duration.ofSeconds(5);
    private static final long LONGEST_END_SECONDS = 3;
    private static final double NS = 1e6;
    private static final AttributeKey<String> SERVICE = AttributeKey.stringKey("service.name");

    private final SdkTracerProvider provider;
    private final io.opentelemetry.api.trace.Tracer spans;
    private final BlockingQueue<OperationTrace> waiting = new ArrayBlockingQueue<>(MOST_WAITING);
    private final Thread maker = new Thread(this::work, "traces");
    private final LongAdder exported = new LongAdder();
    private final LongAdder dropped = new LongAdder();
    private volatile boolean ending;

    public Tracer(TracingSettings line, String gateway) {
        SdkTracerProviderBuilder builder =
                SdkTracerProvider.builder()
                        .setResource(
                                Resource.create(Attributes.of(SERVICE, "sagepulley/" + gateway)));
        if (line.file() != null) {
            builder.addSpanProcessor(
                    batches(new SpanFile(line.file(), line.fileBytes(), line.files())));
        }
        if (!line.otlp().isEmpty()) {
            builder.addSpanProcessor(
                    batches(
                            OtlpHttpSpanExporter.builder()
                                    .setEndpoint(line.otlp())
                                    .setTimeout(LONGEST_EXPORT)
                                    .setConnectTimeout(LONGEST_EXPORT)
                                    .build()));
        }
        provider = builder.build();
        spans = provider.get("sagepulley");
        maker.setDaemon(true);
        maker.start();
    }

    private static BatchSpanProcessor batches(SpanExporter exporter) {
        return BatchSpanProcessor.builder(exporter)
                .setMaxQueueSize(MOST_SPANS)
                .setScheduleDelay(Duration.ofMillis(500))
                .setExporterTimeout(LONGEST_EXPORT)
                .build();
    }

    /** Takes a story; drops it if too many wait. From any thread, without waiting. */
    public void submit(OperationTrace trace) {
        if (!waiting.offer(trace)) {
            dropped.increment();
        }
    }

    /** Stories made into traces, and dropped, since the start. */
    public long exported() {
        return exported.sum();
    }

    public long dropped() {
        return dropped.sum();
    }

    private void work() {
        try {
            while (!ending || !waiting.isEmpty()) {
                OperationTrace trace = waiting.poll(100, TimeUnit.MILLISECONDS);
                if (trace != null) {
                    make(trace);
                    exported.increment();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static long at(double wall) {
        return (long) (wall * NS);
    }

    private static String word(Enum<?> constant) {
        return ExternalName.of(constant);
    }

    private void make(OperationTrace trace) {
        double end = trace.arrivedAt() + trace.duration();
        Span root =
                spans.spanBuilder("operation")
                        .setNoParent()
                        .setStartTimestamp(at(trace.arrivedAt()), TimeUnit.NANOSECONDS)
                        .setAttribute("gateway", trace.gateway())
                        .setAttribute("operation", trace.operation())
                        .setAttribute("cookie", trace.cookie())
                        .setAttribute("volume", trace.volume())
                        .setAttribute("band", trace.trafficClass())
                        .setAttribute("kind", trace.kind())
                        .setAttribute("extent", trace.extent())
                        .setAttribute("units", trace.units())
                        .setAttribute("result", word(trace.end()))
                        .setAttribute("reason", word(trace.reason()))
                        .setAttribute("main_cause", trace.mainCause())
                        .setAttribute("kept", word(trace.sampleReason()))
                        .setAttribute("stands_for", trace.sampleWeight())
                        .startSpan();
        Context within = Context.root().with(root);
        for (OperationTrace.Attempt attempt : trace.attempts()) {
            SpanBuilder one =
                    spans.spanBuilder("hop")
                            .setParent(within)
                            .setStartTimestamp(
                                    at(trace.arrivedAt() + attempt.sentAfter()),
                                    TimeUnit.NANOSECONDS)
                            .setAttribute("number", attempt.number())
                            .setAttribute("node", attempt.node())
                            .setAttribute(
                                    "owed",
                                    attempt.quotaTier() == null ? "" : word(attempt.quotaTier()))
                            .setAttribute(
                                    "result",
                                    attempt.outcome() == null ? "out" : word(attempt.outcome()));
            double ended =
                    attempt.outcome() == null
                            ? end
                            : trace.arrivedAt() + attempt.sentAfter() + attempt.duration();
            one.startSpan().end(at(ended), TimeUnit.NANOSECONDS);
        }
        double at = trace.arrivedAt();
        for (OperationTrace.Step step : trace.steps()) {
            spans.spanBuilder("step")
                    .setParent(within)
                    .setStartTimestamp(at(at), TimeUnit.NANOSECONDS)
                    .setAttribute("spent", word(step.component()))
                    .setAttribute("node", step.node())
                    .startSpan()
                    .end(at(at + step.duration()), TimeUnit.NANOSECONDS);
            at += step.duration();
        }
        if (trace.end() == Accounts.End.ABANDONED || trace.end() == Accounts.End.REJECTED) {
            root.setStatus(StatusCode.ERROR, word(trace.reason()));
        }
        root.end(at(end), TimeUnit.NANOSECONDS);
    }

    /** Makes and exports what waits, as far as that goes within seconds. */
    @Override
    public void close() {
        ending = true;
        try {
            maker.join(TimeUnit.SECONDS.toMillis(LONGEST_END_SECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        provider.shutdown().join(LONGEST_END_SECONDS, TimeUnit.SECONDS);
    }
}
