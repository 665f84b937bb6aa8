package sagepulley.engine;

/**
 * The monotonic clock of a gateway, in fractional milliseconds since its creation. Its relation to
 * the wall clock is fixed at creation.
 */
public final class Clock {
    private static final double NANOS_PER_MILLI = 1e6;

    private final long startNanos = System.nanoTime();
    private final double wallMillisAtStart = System.currentTimeMillis();

    /** Returns the current time in milliseconds; it never decreases. */
    public double now() {
        return (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
    }

    /**
     * Converts a time of this clock to wall-clock milliseconds since 1970. Later steps of the wall
     * clock have no effect.
     */
    public double toWallClock(double time) {
        return wallMillisAtStart + time;
    }

    /**
     * Converts wall-clock milliseconds since 1970 to a time of this clock. The value 0 stands for
     * long ago and becomes negative infinity.
     */
    public double fromWallClock(long wallMillis) {
        return wallMillis == 0 ? Double.NEGATIVE_INFINITY : wallMillis - wallMillisAtStart;
    }
}
