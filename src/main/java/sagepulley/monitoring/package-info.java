/**
 * Metrics and views of a running NBD gateway over HTTP.
 *
 * <p>{@link sagepulley.monitoring.MonitoringServer} builds its responses on its own threads from
 * copies that the gateway's engine provides. Its only state is the latest totals. The names of
 * metrics, labels and JSON properties are fixed, because dashboards and scripts use them.
 */
package sagepulley.monitoring;
