/**
 * What all connections of the RESP gateway share: the event loop with its channel types, and the
 * time at which bytes came to this machine.
 */
package sagepulley.transport;
