package sagepulley.scheduler;

import sagepulley.model.SlidingWindowCounter;

/**
 * What a volume lately asked of an endpoint and was served there, in units, through all gateways
 * where the endpoint reports it; owned by {@link QuotaTracker}.
 */
final class TenantEndpointUsage {
    final EndpointState endpoint;
    final double weight;
    final SlidingWindowCounter demand;
    final SlidingWindowCounter reserved;
    final SlidingWindowCounter beyondReservation;

    /** When the endpoint last answered for the volume, in milliseconds. */
    double reportedAt = Double.NEGATIVE_INFINITY;

    /** Units served beyond the reservation; a working value of {@link MaxMinFairness}. */
    double served;

    /** Units wanted beyond the reservation; a working value of {@link MaxMinFairness}. */
    double shareDemand;

    /** Whether it wants more than its level so far; a working value of {@link MaxMinFairness}. */
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

    /** Sets the working values from the sliding windows. */
    void updateDemand(double now) {
        served = beyondReservation.sumOverestimate(now);
        shareDemand = Math.max(served, demand.sumOverestimate(now) - reserved.sumOverestimate(now));
        unsatisfied = shareDemand > 0;
    }
}
