/**
 * Snapshots of the NBD gateway's state on disk.
 *
 * <p>{@link sagepulley.persistence.SnapshotFile} replaces a file atomically and verifies what it
 * reads. Three files build on it: {@link sagepulley.persistence.AccountFile} (latency accounts in
 * CBOR; {@code [accounts] file} in the site file), {@link sagepulley.persistence.EndpointListFile}
 * (endpoint list in JSON; {@code [membership] list}) and {@link sagepulley.persistence.HolderFile}
 * (extent holders compressed with zstd; {@code [membership] holders}).
 *
 * <p>The state itself is confined to the engine's thread. A {@link
 * sagepulley.persistence.PeriodicWriter} requests a copy from the engine and writes it on a
 * background thread.
 */
package sagepulley.persistence;
