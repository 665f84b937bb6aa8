package sagepulley.tracing;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.rolling.FixedWindowRollingPolicy;
import ch.qos.logback.core.rolling.RollingFileAppender;
import ch.qos.logback.core.rolling.SizeBasedTriggeringPolicy;
import ch.qos.logback.core.util.Duration;
import ch.qos.logback.core.util.FileSize;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.nio.file.Path;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Writes spans to a file, one line of JSON each. Rotates the file when it reaches its maximum size
 * and deletes the oldest rotated file.
 */
final class SpanFileExporter implements SpanExporter {
    private static final JsonMapper JSON = new JsonMapper();

    private static final Duration SIZE_CHECK_INTERVAL = Duration.buildByMilliseconds(200);

    private final LoggerContext context = new LoggerContext();
    private final Logger lineLogger;

    SpanFileExporter(Path file, long bytes, int files) {
        context.setMDCAdapter(new LogbackMDCAdapter());
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(context);
        encoder.setPattern("%msg%n");
        encoder.start();
        RollingFileAppender<ILoggingEvent> appender = new RollingFileAppender<>();
        appender.setContext(context);
        appender.setFile(file.toString());
        appender.setEncoder(encoder);
        appender.setRollingPolicy(rollingPolicy(file, files, appender));
        appender.setTriggeringPolicy(triggeringPolicy(bytes));
        appender.start();
        lineLogger = context.getLogger("traces");
        lineLogger.addAppender(appender);
    }

    private FixedWindowRollingPolicy rollingPolicy(
            Path file, int files, RollingFileAppender<ILoggingEvent> appender) {
        FixedWindowRollingPolicy policy = new FixedWindowRollingPolicy();
        policy.setContext(context);
        policy.setParent(appender);
        policy.setFileNamePattern(file + ".%i");
        policy.setMinIndex(1);
        policy.setMaxIndex(Math.max(1, files - 1));
        policy.start();
        return policy;
    }

    private SizeBasedTriggeringPolicy<ILoggingEvent> triggeringPolicy(long bytes) {
        SizeBasedTriggeringPolicy<ILoggingEvent> policy = new SizeBasedTriggeringPolicy<>();
        policy.setContext(context);
        policy.setMaxFileSize(new FileSize(bytes));
        policy.setCheckIncrement(SIZE_CHECK_INTERVAL);
        policy.start();
        return policy;
    }

    @Override
    public CompletableResultCode export(Collection<SpanData> spans) {
        for (SpanData span : spans) {
            Map<String, Object> line = new LinkedHashMap<>();
            line.put("trace", span.getTraceId());
            line.put("span", span.getSpanId());
            line.put("parent", span.getParentSpanContext().isValid() ? span.getParentSpanId() : "");
            line.put("name", span.getName());
            line.put("start", span.getStartEpochNanos());
            line.put("end", span.getEndEpochNanos());
            span.getAttributes().forEach((key, value) -> line.put(key.getKey(), value));
            try {
                lineLogger.info(JSON.writeValueAsString(line));
            } catch (JsonProcessingException e) {
                return CompletableResultCode.ofExceptionalFailure(e);
            }
        }
        return CompletableResultCode.ofSuccess();
    }

    @Override
    public CompletableResultCode flush() {
        return CompletableResultCode.ofSuccess();
    }

    @Override
    public CompletableResultCode shutdown() {
        context.stop();
        return CompletableResultCode.ofSuccess();
    }
}
