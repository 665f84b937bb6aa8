package sagepulley.scheduler;

import sagepulley.model.SlidingWindowCounter;

/**
 * What lately came for one endpoint, or as new objects, and what of it was rejected though it could
 * be served; counted by {@link AdmissionController}.
 */
record ArrivalWindow(SlidingWindowCounter arrivals, SlidingWindowCounter rejections) {
    private static final int BUCKETS = 10;

    static ArrivalWindow over(double windowMillis) {
        return new ArrivalWindow(
                new SlidingWindowCounter(windowMillis, BUCKETS),
                new SlidingWindowCounter(windowMillis, BUCKETS));
    }
}
