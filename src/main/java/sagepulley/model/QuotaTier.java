package sagepulley.model;

/**
 * The tier of a tenant's quota to which an operation's units are charged: the reservation, the
 * weighted share, or the excess over both.
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

    /** Returns why an operation of this tier waits at a node whose concurrency limit is reached. */
    public Reason fullReason() {
        return switch (this) {
            case RESERVATION -> Reason.RESERVATION_FULL;
            case SHARE -> Reason.SHARE_FULL;
            case EXCESS -> Reason.EXCESS_FULL;
        };
    }
}
