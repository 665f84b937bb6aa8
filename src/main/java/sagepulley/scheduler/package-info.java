/**
 * The decisions of one gateway: where each operation goes, when, and which are given up. Pure:
 * time, endpoint lists and outcomes are handed in, and the only source of randomness is the seed.
 *
 * <p>{@link sagepulley.scheduler.Scheduler} composes the concerns; each owns its state, and none
 * knows the composer:
 *
 * <ul>
 *   <li>{@link sagepulley.scheduler.EndpointTable}: the listed endpoints and their start times
 *   <li>{@link sagepulley.scheduler.RequestQueues}, with {@link sagepulley.scheduler.WaitQueue} and
 *       {@link sagepulley.scheduler.DeadlineIndex}: the operations that wait
 *   <li>{@link sagepulley.scheduler.RequestSelector} and {@link
 *       sagepulley.scheduler.RequestPriority}: whose turn it is
 *   <li>{@link sagepulley.scheduler.DispatchRules}: the service's rules that each attempt keeps
 *   <li>{@link sagepulley.scheduler.Router} and {@link sagepulley.scheduler.EndpointLatencies}: the
 *       placement score of new objects
 *   <li>{@link sagepulley.scheduler.ConcurrencyLimiter}: attempts in flight at each endpoint
 *   <li>{@link sagepulley.scheduler.AdmissionController}: queue estimates, the admission factor,
 *       load shedding and Retry-After
 *   <li>{@link sagepulley.scheduler.QuotaTracker} and {@link sagepulley.scheduler.MaxMinFairness}:
 *       reservation, share and limit of each tenant
 *   <li>{@link sagepulley.scheduler.RetryPolicy}, {@link sagepulley.scheduler.RetryBudget}, {@link
 *       sagepulley.scheduler.ClientRetryTracker} and {@link sagepulley.scheduler.AttemptTimeout}:
 *       attempts after the first
 *   <li>{@link sagepulley.scheduler.SlowStartBudget}: endpoints that warm up
 *   <li>{@link sagepulley.scheduler.OutlierDetector}: unresponsive and faulty endpoints
 *   <li>{@link sagepulley.scheduler.KeyOrdering}: operations of one key in their order
 *   <li>{@link sagepulley.scheduler.LatencyTracker}: latency statistics by traffic class
 * </ul>
 *
 * <p>State of an endpoint, an operation or a volume hangs on its model object, in the field
 * schedulerState, for as long as that lives. Everything runs on the one thread that calls
 * Scheduler; there are no locks. Times are milliseconds on that caller's monotonic clock.
 */
package sagepulley.scheduler;
