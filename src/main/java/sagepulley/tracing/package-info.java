/**
 * Tail-sampled traces of operations.
 *
 * <p>{@link sagepulley.tracing.TailSampler} decides after an operation's end, on the engine's
 * thread of the NBD gateway, whether its trace is kept. {@link sagepulley.tracing.Tracer} passes
 * the kept traces through a bounded queue to a background thread, which records them as
 * OpenTelemetry spans. The spans are exported to a file that is rotated by size ({@code [traces]
 * file} in the site file) and to an OTLP receiver ({@code [traces] otlp}).
 */
package sagepulley.tracing;
