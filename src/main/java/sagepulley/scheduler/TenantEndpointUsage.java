package sagepulley.scheduler;

import sagepulley.model.SlidingWindowCounter;

/**
 * Tracks the recent demand and usage of a volume at one endpoint, in units, including the usage
 * through other gateways as far as the endpoint reports it. Owned by {@link QuotaTracker}.
 */
final class TenantEndpointUsage {
    final EndpointState endpoint;
    final double weight;
    final SlidingWindowCounter demand;
    final SlidingWindowCounter reserved;
    final SlidingWindowCounter beyondReservation;

    /**
     * The time at which the endpoint last served the volume through this gateway, in milliseconds.
     */
    double lastServedAt = Double.NEGATIVE_INFINITY;

    /** Units served beyond the reservation; set for {@link MaxMinFairness}. */
    double served;

    /** Units demanded beyond the reservation; set for {@link MaxMinFairness}. */
    double shareDemand;

    /** True if the demand exceeds the level computed so far; also set by {@link MaxMinFairness}. */
    boolean unsatisfied;

    TenantEndpointUsage(
            EndpointState endpoint,
            double weight,
            SlidingWindowCounter demand,
            SlidingWindowCounter reserved,
            SlidingWindowCounter beyondReservation) {
        this.endpoint = endpoint;
        this.weight = weight;
        this.demand = demand;
        this.reserved = reserved;
        this.beyondReservation = beyondReservation;
    }

    /** Sets the fields for {@link MaxMinFairness} from the sliding windows. */
    void updateDemand(double now) {
        served = beyondReservation.sumOverestimate(now);
        shareDemand = Math.max(served, demand.sumOverestimate(now) - reserved.sumOverestimate(now));
        unsatisfied = shareDemand > 0;
    }
}
