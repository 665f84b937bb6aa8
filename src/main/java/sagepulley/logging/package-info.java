/**
 * The log of the RESP gateway: lines of names and values on standard error. A thread of its own
 * writes the queued lines, so that an event loop never waits for the output.
 */
package sagepulley.logging;
