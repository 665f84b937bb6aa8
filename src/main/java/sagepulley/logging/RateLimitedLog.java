package sagepulley.logging;

import java.util.function.DoubleSupplier;

/**
 * Log lines about single requests, connections and endpoints, at most a fixed number each second so
 * that an overload does not add to itself. Suppressed lines are counted, and the count is logged
 * with the next second's first line. Used by one thread.
 */
public final class RateLimitedLog {
    private static final int MAX_LINES_PER_SECOND = 100;
    private static final double WINDOW_MILLIS = 1_000;

    private final DoubleSupplier clock;
    private double windowStart = Double.NEGATIVE_INFINITY;
    private int written;
    private long suppressed;

    /** The clock gives milliseconds. */
    public RateLimitedLog(DoubleSupplier clock) {
        this.clock = clock;
    }

    /** Logs an event with alternating names and values, unless the limit is reached. */
    public void info(String event, Object... namesAndValues) {
        double now = clock.getAsDouble();
        if (now - windowStart >= WINDOW_MILLIS) {
            windowStart = now;
            written = 0;
            if (suppressed > 0) {
                LogWriter.info("log lines suppressed", "count", suppressed);
                suppressed = 0;
            }
        }
        if (written >= MAX_LINES_PER_SECOND) {
            suppressed++;
            return;
        }
        written++;
        LogWriter.info(event, namesAndValues);
    }
}
