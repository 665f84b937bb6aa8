package sagepulley.scheduler;

import sagepulley.model.SlidingWindowCounter;

/**
 * Counts the recent arrivals for one endpoint, or for operations without an endpoint, and those of
 * them that were given up although their endpoint was healthy. Updated by {@link
 * AdmissionController}.
 */
record ArrivalWindow(SlidingWindowCounter arrivals, SlidingWindowCounter rejections) {
    private static final int BUCKETS = 10;

    static ArrivalWindow over(double windowMillis) {
        return new ArrivalWindow(
                new SlidingWindowCounter(windowMillis, BUCKETS),
                new SlidingWindowCounter(windowMillis, BUCKETS));
    }
}
