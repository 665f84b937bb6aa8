package sagepulley.scheduler;

import sagepulley.model.SlidingWindowCounter;

/**
 * What a volume lately asked of a node and was served there, in units, through all gateways if
 * told.
 */
final class TenantEndpointUsage {
    final EndpointState endpoint;
    final double weight;
    final SlidingWindowCounter demand;
    final SlidingWindowCounter reserved;
    final SlidingWindowCounter beyondReservation;

    /** When the node last answered for the volume. */
    double reportedAt = Double.NEGATIVE_INFINITY;

    /** Working values of the latest dealing out. */
    double served;

    double shareDemand;
    boolean unsatisfied;

    TenantEndpointUsage(
            EndpointState endpoint,
            double weight,
            SlidingWindowCounter asked,
            SlidingWindowCounter reserved,
            SlidingWindowCounter beyond) {
        this.endpoint = endpoint;
        this.weight = weight;
        this.demand = asked;
        this.reserved = reserved;
        this.beyondReservation = beyond;
    }
}
