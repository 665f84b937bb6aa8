package sagepulley.model;

/**
 * The quota of each volume of a plan, across all gateways and endpoints. Rates are units per
 * second.
 *
 * @param index the index of the plan in the deployment
 * @param name the name of the plan
 * @param rate the rate for which a volume is provisioned
 * @param reservation the rate that is reserved for a volume; 0 for none
 * @param weight the weight of a volume's share
 * @param price the price of a unit
 * @param limit the rate limit of a volume; 0 for none
 * @param limitBurst the size of the limit's token bucket, in units
 * @param limitSlack the units by which a check of the limit lets the bucket be overdrawn
 */
public record TenantPlan(
        int index,
        String name,
        double rate,
        double reservation,
        double weight,
        double price,
        double limit,
        double limitBurst,
        double limitSlack) {}
