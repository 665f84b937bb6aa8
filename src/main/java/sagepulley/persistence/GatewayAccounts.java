package sagepulley.persistence;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Map;
import sagepulley.accounts.StoredAccounts;

/**
 * One gateway's accounts as they are stored (CBOR; the property names are the file's).
 *
 * @param writtenAt wall-clock milliseconds
 * @param volumeNames by the volumes' numbers
 * @param versionNotifiedAt when each version of the endpoint list was notified, wall-clock
 *     milliseconds
 */
public record GatewayAccounts(
        String gateway,
        long writtenAt,
        @JsonProperty("names") Map<Long, String> volumeNames,
        @JsonProperty("told") Map<Long, Double> versionNotifiedAt,
        @JsonProperty("kept") StoredAccounts accounts) {
    boolean isComplete() {
        return gateway != null
                && volumeNames != null
                && versionNotifiedAt != null
                && accounts != null;
    }
}
