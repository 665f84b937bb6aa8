package sagepulley.logging;

import java.util.function.DoubleSupplier;

/**
 * Logs events of single requests, connections and endpoints with a limit on the lines per second,
 * so that logging does not aggravate an overload.
 *
 * <p>Suppressed lines are counted, and the count is logged before the first line after that second.
 * Used by one thread.
 */
public final class RateLimitedLog {
    private static final int MAX_LINES_PER_SECOND = 100;
    private static final double WINDOW_MILLIS = 1_000;

    private final DoubleSupplier clock;
    private double windowStart = Double.NEGATIVE_INFINITY;
    private int written;
    private long suppressed;

    /** Creates a log whose clock returns milliseconds. */
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
