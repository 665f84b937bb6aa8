package sagepulley.scheduler;

import sagepulley.model.SlidingWindowCounter;
import sagepulley.model.Volume;

/** What a volume has used of its quota; owned by {@link QuotaTracker}. Times are milliseconds. */
final class TenantUsage {
    /** Units left of the reservation, as of reservationUpdatedAt. */
    double reservationLeft;

    double reservationUpdatedAt;

    /** Units by which the reservation did not fill because it was full. */
    double reservationOverflow;

    /** Units left of this gateway's part of the rate limit, as of limitUpdatedAt. */
    double limitLeft;

    double limitUpdatedAt;
    final double weight;

    /** Units beyond the reservation at all endpoints, through all gateways that are reported. */
    final SlidingWindowCounter beyondReservation;

    /** By the endpoint's index; null where the volume was never met. */
    TenantEndpointUsage[] byEndpoint = new TenantEndpointUsage[0];

    TenantUsage(double weight, double now, SlidingWindowCounter beyondReservation) {
        this.beyondReservation = beyondReservation;
        this.weight = weight;
        this.reservationUpdatedAt = now;
        this.limitUpdatedAt = now;
    }

    /** The scheduler's state of a volume; null before its first operation. */
    static TenantUsage of(Volume volume) {
        return (TenantUsage) volume.schedulerState;
    }
}
