/**
 * Data types shared by the other packages: operations and their attempts, endpoints, volumes, the
 * settings of a deployment, and the scheduler's decisions. They contain no decision logic and
 * depend on no other package.
 *
 * <p>An {@link sagepulley.model.Operation}, its attempts, a {@link sagepulley.model.Node} and a
 * {@link sagepulley.model.Volume} are mutable and are confined to the thread that calls the
 * scheduler. Records and enums are immutable. Times are milliseconds on that thread's monotonic
 * clock and rates are units per second, unless a member says otherwise.
 */
package sagepulley.model;
