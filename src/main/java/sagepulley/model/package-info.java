/**
 * Plain types that the other packages share: operations and their attempts, endpoints, volumes, the
 * settings of a deployment, and what the scheduler answers. They decide nothing and know no other
 * package.
 *
 * <p>An {@link sagepulley.model.Operation}, its attempts, a {@link sagepulley.model.Node} and a
 * {@link sagepulley.model.Volume} are mutable and belong to the one thread that calls the
 * scheduler. Records and enums are immutable. Times are milliseconds on that thread's monotonic
 * clock, rates are units a second, unless a member says otherwise.
 */
package sagepulley.model;
