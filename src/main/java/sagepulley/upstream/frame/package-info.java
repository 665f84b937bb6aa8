/**
 * The gateway side of the store protocol: one connection to each node, and exactly one outcome for
 * each attempt. {@link sagepulley.upstream.frame.NodeConnection} owns the connection, its attempts,
 * and their payloads until they are written; {@code WriteTokens} tracks the rights to write
 * extents. Both are confined to the event loop of the connection. Routing and retries are decided
 * by the callers.
 */
package sagepulley.upstream.frame;
