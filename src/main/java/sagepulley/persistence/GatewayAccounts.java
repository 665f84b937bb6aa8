package sagepulley.persistence;

import java.util.Map;
import sagepulley.accounts.StoredAccounts;

/**
 * One gateway's accounts as they go to disk: whose, when (wall-clock milliseconds), the volumes'
 * names by their numbers, when which version of the list of nodes was told, and the figures.
 */
public record GatewayAccounts(
        String gateway,
        long writtenAt,
        Map<Long, String> names,
        Map<Long, Double> told,
        StoredAccounts kept) {}
