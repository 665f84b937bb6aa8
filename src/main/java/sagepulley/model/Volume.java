package sagepulley.model;

/** A volume and its tenant plan. */
public final class Volume {
    public final long id;
    public final TenantPlan plan;

    /**
     * The number of gateways through which its operations arrive, as given by the settings or by
     * the latest operation.
     */
    public int gatewayCount = 1;

    /** Operations of the volume that have not ended or have an attempt in flight. */
    public int operationsInFlight;

    /** The scheduler's state of the volume; accessed only by the scheduler. */
    public Object schedulerState;

    /** Creates a volume with a tenant plan. */
    public Volume(long id, TenantPlan plan) {
        this.id = id;
        this.plan = plan;
    }
}
