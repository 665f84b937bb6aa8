package sagepulley.persistence;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Map;
import sagepulley.accounts.StoredAccounts;

/**
 * One gateway's accounts as they go to disk: whose, when (wall-clock milliseconds), the volumes'
 * names by their numbers, when which version of the list of nodes was told, and the figures.
 */
public record GatewayAccounts(
        String gateway,
        long writtenAt,
        @JsonProperty("names") Map<Long, String> volumeNames,
        @JsonProperty("told") Map<Long, Double> versionNotifiedAt,
        @JsonProperty("kept") StoredAccounts accounts) {}
