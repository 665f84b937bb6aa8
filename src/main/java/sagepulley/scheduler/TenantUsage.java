package sagepulley.scheduler;

import sagepulley.model.SlidingWindowCounter;
import sagepulley.model.Volume;

/**
 * Holds what a volume has used of its quota. Owned by {@link QuotaTracker}. Times are milliseconds.
 */
final class TenantUsage {
    /** Units left of the reservation, as of reservationUpdatedAt. */
    double reservationLeft;

    double reservationUpdatedAt;

    /**
     * Unused reservation that was lost while the bucket was full and offset no usage yet, in units.
     */
    double reservationOverflow;

    /** Units left of this gateway's part of the rate limit, as of limitUpdatedAt. */
    double limitLeft;

    double limitUpdatedAt;
    final double weight;

    /**
     * Units used beyond the reservation at all endpoints, with the reported usage of other
     * gateways.
     */
    final SlidingWindowCounter beyondReservation;

    /** Usage by endpoint index; null where the volume has not used the endpoint. */
    TenantEndpointUsage[] byEndpoint = new TenantEndpointUsage[0];

    TenantUsage(double weight, double now, SlidingWindowCounter beyondReservation) {
        this.beyondReservation = beyondReservation;
        this.weight = weight;
        this.reservationUpdatedAt = now;
        this.limitUpdatedAt = now;
    }

    /** Returns the scheduler's state of a volume, or null before its first operation. */
    static TenantUsage of(Volume volume) {
        return (TenantUsage) volume.schedulerState;
    }
}
