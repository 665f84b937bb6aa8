/**
 * Where the latency of operations went, and due to whom (docs/accounts.md).
 *
 * <p>{@link sagepulley.accounts.Accounts} follows each operation with an {@link
 * sagepulley.accounts.OperationTimer} and books it into windows of time; all of it belongs to the
 * engine's thread of the NBD gateway, others get copies. {@link sagepulley.accounts.LatencyAccount}
 * answers questions about a copy, {@link sagepulley.accounts.FleetMerger} merges several gateways'.
 * {@link sagepulley.accounts.StoredAccounts} is the form that {@link
 * sagepulley.persistence.AccountFile} stores. No I/O and no clock.
 */
package sagepulley.accounts;
