/**
 * Accounts of the latency of operations and its causes (docs/accounts.md).
 *
 * <p>{@link sagepulley.accounts.Accounts} tracks each operation with an {@link
 * sagepulley.accounts.OperationTimer} and adds it to windows of time. These objects belong to the
 * engine's thread of the NBD gateway; other threads get copies. {@link
 * sagepulley.accounts.LatencyAccount} answers queries on a copy, {@link
 * sagepulley.accounts.FleetMerger} merges the copies of several gateways. {@link
 * sagepulley.accounts.StoredAccounts} is the form that {@link sagepulley.persistence.AccountFile}
 * stores. The package does no I/O and reads no clock.
 */
package sagepulley.accounts;
