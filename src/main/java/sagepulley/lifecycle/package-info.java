/**
 * Startup, signal handling, configuration reload and warm-up of the RESP gateway process. The main
 * thread waits for the gateway to stop. Reloads run on a separate thread, which owns the state of
 * the configuration file.
 */
package sagepulley.lifecycle;
