package sagepulley.scheduler;

import sagepulley.model.Ring;

/** What is kept of a volume. */
final class Account {
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
    final Ring beyond;

    /** By the index of the seat; null where the volume was never met. */
    Use[] uses = new Use[0];

    Account(double weight, double now, Ring beyond) {
        this.beyond = beyond;
        this.weight = weight;
        this.reserveAt = now;
        this.limitAt = now;
    }
}
