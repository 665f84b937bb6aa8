package sagepulley.scheduler;

import sagepulley.model.SlidingWindowCounter;

/** What is kept of a volume. */
final class TenantUsage {
    /** Units left of the reserve, and when they were reckoned. */
    double reserve;

    double reserveAt;

    /** Units by which the reserve did not fill because it was full. */
    double lost;

    /** Units left of this gateway's part of the limit, and when they were reckoned. */
    double limit;

    double limitAt;
    final double weight;

    /** Units beyond the reserve, at all nodes, through all gateways if told. */
    final SlidingWindowCounter beyond;

    /** By the index of the seat; null where the volume was never met. */
    TenantEndpointUsage[] uses = new TenantEndpointUsage[0];

    TenantUsage(double weight, double now, SlidingWindowCounter beyond) {
        this.beyond = beyond;
        this.weight = weight;
        this.reserveAt = now;
        this.limitAt = now;
    }
}
