/**
 * The site file of the NBD gateway, read into checked records.
 *
 * <p>{@link sagepulley.config.SiteConfig} is read once at the start and never changes; any thread
 * may use it. The file's keys are mapped to the code's terms in {@code SiteConfigReader} and
 * nowhere else; every mistake in a file is reported at once. Settings of the RESP gateway are in
 * {@link sagepulley.config.settings}.
 */
package sagepulley.config;
