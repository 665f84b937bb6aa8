/** The JSON configuration of the RESP gateway, read into an immutable record. */
package sagepulley.config.resp;
