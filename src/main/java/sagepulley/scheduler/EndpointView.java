package sagepulley.scheduler;

import java.util.Locale;
import sagepulley.model.Node;

/** What Scheduler believes of a node, for whoever watches a gateway; nothing is decided by it. */
public record EndpointView(
        double concurrencyLimit,
        double queueEstimate,
        int inFlight,
        int waiting,
        boolean ejected,
        double faultRatio) {
    /** The view of a node that was listed. */
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
                "bound:%.1f,queue:%.2f,out:%d,waiting:%d,faults:%.2f%s",
                concurrencyLimit,
                queueEstimate,
                inFlight,
                waiting,
                faultRatio,
                ejected ? ",silent" : "");
    }
}
