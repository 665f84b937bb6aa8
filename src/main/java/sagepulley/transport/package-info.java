/**
 * Transport shared by all connections of the RESP gateway: the event loop with its channel types,
 * and the time at which bytes arrived at this host.
 */
package sagepulley.transport;
