/**
 * Start, signals, configuration reload and warm-up of the RESP gateway as a process. The main
 * thread waits for the gateway to stop; reloads run on a thread of their own, which owns what is
 * known of the configuration file.
 */
package sagepulley.lifecycle;
