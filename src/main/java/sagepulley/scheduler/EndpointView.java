package sagepulley.scheduler;

import java.util.Locale;
import sagepulley.model.Node;

/**
 * A snapshot of the scheduler's state of an endpoint, for monitoring. The queue estimate is in
 * units of the longest acceptable queueing delay; the fault ratio is a fraction of 1.
 */
public record EndpointView(
        double concurrencyLimit,
        double queueEstimate,
        int inFlight,
        int waiting,
        boolean ejected,
        double faultRatio) {
    /** Returns the view of an endpoint that was listed. */
    public static EndpointView of(Node node) {
        EndpointState endpoint = EndpointState.of(node);
        return new EndpointView(
                endpoint.concurrencyLimit,
                endpoint.queueEstimate,
                endpoint.inFlight.size(),
                endpoint.waitQueue.size(),
                endpoint.ejected,
                endpoint.faultRatio);
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "limit:%.1f,queue:%.2f,in-flight:%d,waiting:%d,faults:%.2f%s",
                concurrencyLimit,
                queueEstimate,
                inFlight,
                waiting,
                faultRatio,
                ejected ? ",ejected" : "");
    }
}
