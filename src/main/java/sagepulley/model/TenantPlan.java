package sagepulley.model;

/**
 * The quota of each volume of a plan, across all gateways and endpoints: reservation and limit in
 * units per second, the weight of its share, and the price of a unit.
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
