package sagepulley.scheduler;

import sagepulley.model.Ring;

/**
 * What lately came for one node, or as new objects, and what of it was declined though it could be
 * served.
 */
record Load(Ring arrivals, Ring declines) {
    static Load over(double window) {
        return new Load(new Ring(window, 10), new Ring(window, 10));
    }
}
