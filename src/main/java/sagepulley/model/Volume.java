package sagepulley.model;

/** A volume as this gateway sees it. */
public final class Volume {
    public final long id;
    public final TenantPlan plan;

    /** Through how many gateways its operations come, by the latest operation. */
    public int gatewayCount = 1;

    /** What the scheduler keeps of the volume; nobody else reads it. */
    public Object schedulerState;

    /** A volume under a plan. */
    public Volume(long id, TenantPlan plan) {
        this.id = id;
        this.plan = plan;
    }
}
