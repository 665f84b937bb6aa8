package sagepulley.scheduler;

import java.util.Locale;
import sagepulley.model.Node;

/** What Scheduler believes of a node, for whoever watches a gateway; nothing is decided by it. */
public record EndpointView(
        double bound, double crowd, int out, int waiting, boolean distrusted, double faults) {
    /** The view of a node that was listed. */
    public static EndpointView of(Node node) {
        EndpointState endpoint = (EndpointState) node.schedulerState;
        return new EndpointView(
                endpoint.bound,
                endpoint.crowd,
                endpoint.out.size(),
                endpoint.waiting.size(),
                endpoint.distrusted,
                endpoint.faults);
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "bound:%.1f,queue:%.2f,out:%d,waiting:%d,faults:%.2f%s",
                bound,
                crowd,
                out,
                waiting,
                faults,
                distrusted ? ",silent" : "");
    }
}
