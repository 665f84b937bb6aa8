package sagepulley.persistence;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Map;
import sagepulley.accounts.StoredAccounts;

/**
 * The stored form of a gateway's accounts. The property names are the keys in the file (CBOR).
 *
 * @param writtenAt time of the snapshot in wall-clock milliseconds
 * @param volumeNames volume names by volume number
 * @param versionNotifiedAt by endpoint list version, when the gateway was notified of it, in
 *     wall-clock milliseconds
 */
public record GatewayAccounts(
        String gateway,
        long writtenAt,
        @JsonProperty("names") Map<Long, String> volumeNames,
        @JsonProperty("told") Map<Long, Double> versionNotifiedAt,
        @JsonProperty("kept") StoredAccounts accounts) {
    /** Returns whether no property except writtenAt, which defaults to 0, is missing. */
    boolean isComplete() {
        return gateway != null
                && volumeNames != null
                && versionNotifiedAt != null
                && accounts != null;
    }
}
