package sagepulley.model;

/** What a volume of the plan is owed, across all gateways and nodes; rates are units a second. */
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
