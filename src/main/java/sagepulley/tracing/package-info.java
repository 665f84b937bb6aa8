/**
 * Traces of operations, made after their end and only of those that are sampled.
 *
 * <p>{@link sagepulley.tracing.TailSampler} decides, on the engine's thread of the NBD gateway.
 * {@link sagepulley.tracing.Tracer} takes the sampled ones through a bounded queue to a thread of
 * its own, which makes OpenTelemetry spans; they are exported to the site file's {@code [traces]
 * file}, rotated by size, and to an OTLP receiver.
 */
package sagepulley.tracing;
