/**
 * The gateway's side of the store protocol: one connection to each node, and exactly one outcome
 * for each attempt. {@link sagepulley.upstream.frame.NodeConnection} owns the connection, the
 * attempts on it and their payloads until they are written, and {@code WriteTokens} the rights to
 * write extents; both are confined to the event loop they are given. Nothing here decides where an
 * attempt goes or whether it is retried.
 */
package sagepulley.upstream.frame;
