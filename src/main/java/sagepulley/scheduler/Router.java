package sagepulley.scheduler;

import java.util.List;
import java.util.function.Predicate;
import sagepulley.model.Deployment;
import sagepulley.model.Node;

/**
 * Places new objects at the eligible endpoint with the lowest placement score: a weighted sum of
 * its recent placements, its load, its write to read ratio and the deployment's preference. Each
 * term is about 1 for an average idle endpoint.
 */
final class Router {
    private static final double PLACEMENTS_WEIGHT = 1;
    private static final double LOAD_WEIGHT = 2;
    private static final double WRITE_READ_WEIGHT = 0.2;
    private static final double PREFERENCE_WEIGHT = 0.2;

    /** The load of one attempt in flight, as a fraction of the latency ratio. */
    private static final double LOAD_PER_ATTEMPT = 0.5;

    private final Deployment deployment;

    Router(Deployment deployment) {
        this.deployment = deployment;
    }

    /**
     * Returns the eligible endpoint with the lowest score, the first of equals, or null if there is
     * none.
     */
    EndpointState lowestScore(
            List<EndpointState> endpoints, Predicate<EndpointState> isEligible, double now) {
        double placements = 0;
        double totalWeight = 0;
        int readyCount = 0;
        for (EndpointState endpoint : endpoints) {
            if (endpoint.node.phase == Node.Phase.READY) {
                placements += endpoint.placements.sumOverestimate(now);
                totalWeight += endpoint.node.weight;
                readyCount++;
            }
        }
        EndpointState best = null;
        double lowest = Double.POSITIVE_INFINITY;
        for (EndpointState endpoint : endpoints) {
            if (!isEligible.test(endpoint)) {
                continue;
            }
            double score =
                    PLACEMENTS_WEIGHT
                                    * (endpoint.placements.sumOverestimate(now) + 1)
                                    / (placements / readyCount + 1)
                            + LOAD_WEIGHT * currentLoad(endpoint)
                            + WRITE_READ_WEIGHT * endpoint.writeReadRatio
                            + PREFERENCE_WEIGHT * preference(endpoint, totalWeight, readyCount);
            if (score < lowest) {
                lowest = score;
                best = endpoint;
            }
        }
        return best;
    }

    /**
     * Returns the load of an endpoint: its latency ratio, scaled by its attempts in flight, plus
     * its queue estimate. The latency ratio changes only at a refresh and would, on its own, send
     * all new objects to one endpoint until the next.
     */
    private static double currentLoad(EndpointState endpoint) {
        return endpoint.latencyRatio * (1 + LOAD_PER_ATTEMPT * endpoint.inFlight.size())
                + endpoint.queueEstimate;
    }

    private double preference(EndpointState endpoint, double totalWeight, int readyCount) {
        double preference =
                deployment.hasNodeWeights() && endpoint.node.weight > 0
                        ? totalWeight / readyCount / endpoint.node.weight
                        : 1;
        if (deployment.crossZonePrice() > 0 && endpoint.node.zone != deployment.zone()) {
            preference += 1;
        }
        return preference;
    }
}
