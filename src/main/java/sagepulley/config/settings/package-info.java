/**
 * Reads the settings that a gateway is told at its start, as path=value pairs, into a {@link
 * sagepulley.model.Deployment}. The pairs' paths are mapped to the program's terms here and nowhere
 * else. It has no state beyond the reading of one set of pairs.
 */
package sagepulley.config.settings;
