/**
 * The JSON configuration of the RESP gateway, read into an immutable record. Nothing here is bound
 * to a thread.
 */
package sagepulley.config.resp;
