package sagepulley.tracing;

import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.common.Attributes;
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
import sagepulley.config.TracingSettings;

/**
 * Records the traces of sampled operations as spans and exports them to a file, an OTLP receiver or
 * both.
 *
 * <p>A background thread does the recording. Traces that do not fit in its queue are dropped and
 * counted, so that submitting never blocks.
 */
public final class Tracer implements AutoCloseable {
    private static final int MAX_QUEUED_TRACES = 1024;
    private static final int MAX_QUEUED_SPANS = 8192;
    private static final Duration EXPORT_INTERVAL = Duration.ofMillis(500);
    private static final Duration EXPORT_TIMEOUT = Duration.ofSeconds(5);
    private static final long POLL_MILLIS = 100;
    private static final long CLOSE_TIMEOUT_SECONDS = 3;
    private static final AttributeKey<String> SERVICE_NAME = AttributeKey.stringKey("service.name");

    private final SdkTracerProvider provider;
    private final SpanRecorder spanRecorder;
    private final BlockingQueue<OperationTrace> queue = new ArrayBlockingQueue<>(MAX_QUEUED_TRACES);
    private final Thread thread = new Thread(this::run, "traces");
    private final LongAdder recorded = new LongAdder();
    private final LongAdder dropped = new LongAdder();
    private volatile boolean closing;

    /** Creates the exporters and starts the recording thread. */
    public Tracer(TracingSettings settings, String gateway) {
        Attributes resourceAttributes = Attributes.of(SERVICE_NAME, "sagepulley/" + gateway);
        SdkTracerProviderBuilder builder =
                SdkTracerProvider.builder().setResource(Resource.create(resourceAttributes));
        if (settings.file() != null) {
            builder.addSpanProcessor(
                    batchProcessor(
                            new SpanFileExporter(
                                    settings.file(), settings.fileBytes(), settings.files())));
        }
        if (!settings.otlp().isEmpty()) {
            builder.addSpanProcessor(
                    batchProcessor(
                            OtlpHttpSpanExporter.builder()
                                    .setEndpoint(settings.otlp())
                                    .setTimeout(EXPORT_TIMEOUT)
                                    .setConnectTimeout(EXPORT_TIMEOUT)
                                    .build()));
        }
        provider = builder.build();
        spanRecorder = new SpanRecorder(provider.get("sagepulley"));
        thread.setDaemon(true);
        thread.start();
    }

    private static BatchSpanProcessor batchProcessor(SpanExporter exporter) {
        return BatchSpanProcessor.builder(exporter)
                .setMaxQueueSize(MAX_QUEUED_SPANS)
                .setScheduleDelay(EXPORT_INTERVAL)
                .setExporterTimeout(EXPORT_TIMEOUT)
                .build();
    }

    /** Queues a trace, or drops it if the queue is full. Thread-safe and non-blocking. */
    public void submit(OperationTrace trace) {
        if (!queue.offer(trace)) {
            dropped.increment();
        }
    }

    /** Returns the number of traces recorded as spans since the start. */
    public long recorded() {
        return recorded.sum();
    }

    /** Returns the number of traces dropped since the start because the queue was full. */
    public long dropped() {
        return dropped.sum();
    }

    private void run() {
        try {
            while (!closing || !queue.isEmpty()) {
                OperationTrace trace = queue.poll(POLL_MILLIS, TimeUnit.MILLISECONDS);
                if (trace != null) {
                    spanRecorder.record(trace, Context.root());
                    recorded.increment();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Records and exports the queued traces, up to a timeout of a few seconds. */
    @Override
    public void close() {
        closing = true;
        try {
            thread.join(TimeUnit.SECONDS.toMillis(CLOSE_TIMEOUT_SECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        provider.shutdown().join(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
}
