package sagepulley.scheduler;

import sagepulley.model.Ring;

/**
 * What a volume lately asked of a node and was served there, in units, through all gateways if
 * told.
 */
final class Use {
    final Seat seat;
    final double weight;
    final Ring asked;
    final Ring reserved;
    final Ring beyond;

    /** When the node last answered for the volume. */
    double toldAt = Double.NEGATIVE_INFINITY;

    /** Working values of the latest dealing out. */
    double served;

    double wants;
    boolean open;

    Use(Seat seat, double weight, Ring asked, Ring reserved, Ring beyond) {
        this.seat = seat;
        this.weight = weight;
        this.asked = asked;
        this.reserved = reserved;
        this.beyond = beyond;
    }
}
