package sagepulley.model;

/**
 * The tier of a tenant's quota that an operation's units are taken from: reservation, weighted
 * share, or in excess of both.
 */
public enum QuotaTier implements ExternalName {
    RESERVATION("reserve"),
    SHARE("share"),
    EXCESS("excess");

    private final String externalName;

    QuotaTier(String externalName) {
        this.externalName = externalName;
    }

    @Override
    public String externalName() {
        return externalName;
    }

    /** Why an operation of this tier waits at a node whose concurrency limit is reached. */
    public Reason fullReason() {
        return switch (this) {
            case RESERVATION -> Reason.RESERVATION_FULL;
            case SHARE -> Reason.SHARE_FULL;
            case EXCESS -> Reason.EXCESS_FULL;
        };
    }
}
