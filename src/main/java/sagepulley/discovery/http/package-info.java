/**
 * The HTTP client of discovery, which brings endpoint lists by a watch and by polls. The client
 * owns its open requests and the revision seen last; when to poll is decided by the membership
 * package. Runs on the event loop of the gateway.
 */
package sagepulley.discovery.http;
