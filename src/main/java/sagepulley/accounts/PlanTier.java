package sagepulley.accounts;

import com.fasterxml.jackson.annotation.JsonProperty;
import sagepulley.model.ExternalName;
import sagepulley.model.QuotaTier;

/**
 * By which tier of its tenant's plan an operation was served, or held; the rate limit takes
 * precedence. Stored accounts refer to a tier by its ordinal, so new ones go to the end.
 */
public enum PlanTier implements ExternalName {
    @JsonProperty("RESERVE")
    RESERVATION("reserve"),
    SHARE("share"),
    EXCESS("excess"),
    LIMIT("limit"),
    /** Never sent anywhere. */
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
