/**
 * Reads the startup settings of a gateway, given as path=value pairs, into a {@link
 * sagepulley.model.Deployment}. This is the only place that maps the paths to the terms of the
 * code.
 */
package sagepulley.config.settings;
