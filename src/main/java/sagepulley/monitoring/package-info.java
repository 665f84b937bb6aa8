/**
 * Metrics and views of a running NBD gateway over HTTP.
 *
 * <p>{@link sagepulley.monitoring.MonitoringServer} answers on threads of its own, with copies that
 * the gateway's engine hands over; it owns no state but the latest totals. The names of metrics,
 * labels and JSON properties are fixed: dashboards and scripts use them.
 */
package sagepulley.monitoring;
