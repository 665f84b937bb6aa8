/**
 * Log of the RESP gateway: lines of names and values on standard error. A separate thread writes
 * the queued lines, so that an event loop never waits for the output.
 */
package sagepulley.logging;
