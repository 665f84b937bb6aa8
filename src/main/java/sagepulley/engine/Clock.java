package sagepulley.engine;

/**
 * The monotonic clock of a gateway, in milliseconds with fractions from its start. It is related to
 * the wall clock once, at its start.
 */
public final class Clock {
    private static final double NANOS_PER_MILLI = 1e6;

    private final long startNanos = System.nanoTime();
    private final double wallMillisAtStart = System.currentTimeMillis();

    /** The time now, in milliseconds; never less than before. */
    public double now() {
        return (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
    }

    /**
     * The wall-clock time, in milliseconds since 1970, at a time of this clock; steps of the wall
     * clock since the start change nothing.
     */
    public double toWallClock(double time) {
        return wallMillisAtStart + time;
    }

    /** This clock's time at a wall-clock time in milliseconds since 1970; 0 is long ago. */
    public double fromWallClock(long wallMillis) {
        return wallMillis == 0 ? Double.NEGATIVE_INFINITY : wallMillis - wallMillisAtStart;
    }
}
