package sagepulley.scheduler;

import sagepulley.model.SlidingWindowCounter;

/**
 * What lately came for one node, or as new objects, and what of it was declined though it could be
 * served.
 */
record ArrivalWindow(SlidingWindowCounter arrivals, SlidingWindowCounter rejections) {
    static ArrivalWindow over(double window) {
        return new ArrivalWindow(
                new SlidingWindowCounter(window, 10), new SlidingWindowCounter(window, 10));
    }
}
