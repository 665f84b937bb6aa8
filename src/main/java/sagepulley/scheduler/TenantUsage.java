package sagepulley.scheduler;

import sagepulley.model.SlidingWindowCounter;

/** What is kept of a volume. */
final class TenantUsage {
    /** Units left of the reserve, and when they were reckoned. */
    double reservationLeft;

    double reservationUpdatedAt;

    /** Units by which the reserve did not fill because it was full. */
    double reservationOverflow;

    /** Units left of this gateway's part of the limit, and when they were reckoned. */
    double limitLeft;

    double limitUpdatedAt;
    final double weight;

    /** Units beyond the reserve, at all nodes, through all gateways if told. */
    final SlidingWindowCounter beyondReservation;

    /** By the index of the seat; null where the volume was never met. */
    TenantEndpointUsage[] byEndpoint = new TenantEndpointUsage[0];

    TenantUsage(double weight, double now, SlidingWindowCounter beyond) {
        this.beyondReservation = beyond;
        this.weight = weight;
        this.reservationUpdatedAt = now;
        this.limitUpdatedAt = now;
    }
}
