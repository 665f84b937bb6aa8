/**
 * HTTP client for discovery, which receives endpoint lists through a watch and through polls. The
 * client owns its open requests and the revision received last; the membership package decides when
 * to poll. Runs on the gateway's event loop.
 */
package sagepulley.discovery.http;
