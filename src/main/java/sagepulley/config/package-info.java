/**
 * The site file of the NBD gateway, read into validated records.
 *
 * <p>{@link sagepulley.config.SiteConfig} is read once at startup and is immutable. {@code
 * SiteConfigReader} is the only place that maps the file's keys to the terms of the code; all
 * errors of a file are reported together. Settings of the RESP gateway are in {@link
 * sagepulley.config.settings}.
 */
package sagepulley.config;
