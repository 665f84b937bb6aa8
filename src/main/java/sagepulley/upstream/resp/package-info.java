/**
 * RESP connections to the endpoints. The connection pool owns all connections and the attempts in
 * flight on them, and ends each attempt in exactly one outcome. Runs on the gateway's event loop.
 */
package sagepulley.upstream.resp;
