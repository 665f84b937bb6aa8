package sagepulley.model;

/** A volume as this gateway sees it. */
public final class Volume {
    public final long id;
    public final TenantPlan plan;

    /** Through how many gateways its operations come, as the latest operation told. */
    public int gatewayCount = 1;

    /** Whatever the decision module keeps with the volume; nobody else reads it. */
    public Object schedulerState;

    public Volume(long id, TenantPlan plan) {
        this.id = id;
        this.plan = plan;
    }
}
