package sagepulley.accounts;

import com.fasterxml.jackson.annotation.JsonProperty;
import sagepulley.model.ExternalName;
import sagepulley.model.QuotaTier;

/**
 * The tier of the tenant's plan in which an operation was served or held. The rate limit takes
 * precedence. Stored accounts refer to a tier by its ordinal, so new tiers are added at the end.
 */
public enum PlanTier implements ExternalName {
    @JsonProperty("RESERVE")
    RESERVATION("reserve"),
    SHARE("share"),
    EXCESS("excess"),
    LIMIT("limit"),
    /** The operation was not sent to any node. */
    NONE("none");

    private final String externalName;

    PlanTier(String externalName) {
        this.externalName = externalName;
    }

    @Override
    public String externalName() {
        return externalName;
    }

    static PlanTier of(QuotaTier quotaTier) {
        return switch (quotaTier) {
            case RESERVATION -> RESERVATION;
            case SHARE -> SHARE;
            case EXCESS -> EXCESS;
        };
    }
}
