package sagepulley.accounts;

import sagepulley.model.Owed;

/**
 * By which part of its plan an operation was served, or held: the plan's limit goes before the
 * others.
 */
public enum PlanPart {
    RESERVE,
    SHARE,
    EXCESS,
    LIMIT,
    /** Never sent anywhere. */
    NONE;

    static PlanPart of(Owed owed) {
        return switch (owed) {
            case RESERVE -> RESERVE;
            case SHARE -> SHARE;
            case EXCESS -> EXCESS;
        };
    }
}
