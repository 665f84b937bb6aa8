/**
 * Schedules the operations of one gateway: chooses the endpoint and the time of each attempt, and
 * rejects or abandons operations that cannot be served. The package does no I/O: time, endpoint
 * lists and outcomes are passed in, and the seed is the only source of randomness.
 *
 * <p>{@link sagepulley.scheduler.Scheduler} composes the classes below. Each owns its state and
 * does not depend on Scheduler.
 *
 * <ul>
 *   <li>{@link sagepulley.scheduler.EndpointTable}: the listed endpoints and their start times
 *   <li>{@link sagepulley.scheduler.RequestQueues}, with {@link sagepulley.scheduler.WaitQueue} and
 *       {@link sagepulley.scheduler.DeadlineIndex}: the waiting operations
 *   <li>{@link sagepulley.scheduler.RequestSelector} and {@link
 *       sagepulley.scheduler.RequestPriority}: which operation is sent next
 *   <li>{@link sagepulley.scheduler.DispatchRules}: the service rules that every attempt keeps
 *   <li>{@link sagepulley.scheduler.Router} and {@link sagepulley.scheduler.EndpointLatencies}: the
 *       placement of new objects
 *   <li>{@link sagepulley.scheduler.ConcurrencyLimiter}: the limit on attempts in flight at each
 *       endpoint
 *   <li>{@link sagepulley.scheduler.AdmissionController}: queue estimates, the admission factor,
 *       load shedding and Retry-After
 *   <li>{@link sagepulley.scheduler.QuotaTracker} and {@link sagepulley.scheduler.MaxMinFairness}:
 *       the reservation, share and limit of each tenant
 *   <li>{@link sagepulley.scheduler.RetryPolicy}, {@link sagepulley.scheduler.RetryBudget}, {@link
 *       sagepulley.scheduler.ClientRetryTracker} and {@link sagepulley.scheduler.AttemptTimeout}:
 *       retries and attempt timeouts
 *   <li>{@link sagepulley.scheduler.SlowStartBudget}: the load on endpoints in slow start
 *   <li>{@link sagepulley.scheduler.OutlierDetector}: unresponsive and faulty endpoints
 *   <li>{@link sagepulley.scheduler.KeyOrdering}: the order of operations on one key
 *   <li>{@link sagepulley.scheduler.LatencyTracker}: latency statistics by traffic class
 * </ul>
 *
 * <p>The state of an endpoint, an operation or a volume is stored in the schedulerState field of
 * its model object. The package is not thread-safe: all calls come from one thread. Times are
 * milliseconds on the caller's monotonic clock.
 */
package sagepulley.scheduler;
