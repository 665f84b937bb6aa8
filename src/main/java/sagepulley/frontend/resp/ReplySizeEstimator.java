package sagepulley.frontend.resp;

import java.util.Arrays;
import sagepulley.codec.resp.RespLimits;
import sagepulley.model.TrafficClass;

/**
 * Estimates the size of a reply that is still to come, by traffic class: close to the largest of
 * the latest replies, so that memory can be reserved for it. Runs on the event loop.
 */
final class ReplySizeEstimator {
    /** Weight of a reply that is smaller than the estimate. */
    private static final double DECAY = 1.0 / 16;

    private final double[] bytesByClass;

    /** Creates an estimator that expects replies of the maximum size at first. */
    ReplySizeEstimator(int trafficClasses) {
        bytesByClass = new double[trafficClasses];
        Arrays.fill(bytesByClass, RespLimits.MAX_VALUE_BYTES);
    }

    /** Returns the expected size of a reply in bytes. */
    int expectedBytes(TrafficClass trafficClass) {
        return (int) bytesByClass[trafficClass.index()];
    }

    /** Records the size of a reply. */
    void onReply(TrafficClass trafficClass, int bytes) {
        int index = trafficClass.index();
        double change = bytes - bytesByClass[index];
        bytesByClass[index] += change > 0 ? change : change * DECAY;
    }
}
