package sagepulley.accounts;

import sagepulley.model.QuotaTier;

/**
 * By which part of its plan an operation was served, or held: the plan's limit goes before the
 * others.
 */
public enum PlanTier {
    RESERVE,
    SHARE,
    EXCESS,
    LIMIT,
    /** Never sent anywhere. */
    NONE;

    static PlanTier of(QuotaTier quotaTier) {
        return switch (quotaTier) {
            case RESERVATION -> RESERVE;
            case SHARE -> SHARE;
            case EXCESS -> EXCESS;
        };
    }
}
