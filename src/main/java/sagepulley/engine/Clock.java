package sagepulley.engine;

/**
 * The one clock of a gateway: milliseconds with fractions that only move forward, tied to the wall
 * once.
 */
public final class Clock {
    private final long startNanos = System.nanoTime();
    private final double wallAtStart = System.currentTimeMillis();

    public double now() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    /**
     * The wall-clock time, in milliseconds, at a time of this clock; a step of the wall's clock
     * since changes none.
     */
    public double wall(double time) {
        return wallAtStart + time;
    }

    /** This clock's time at a wall-clock time in milliseconds; 0 is long ago. */
    public double atWall(long wall) {
        return wall == 0 ? Double.NEGATIVE_INFINITY : wall - wallAtStart;
    }
}
