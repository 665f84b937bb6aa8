package sagepulley.scenario;

import java.util.List;

/**
 * How one rule or promise was kept: the figure that came nearest to the bound, and the first
 * breaches.
 */
public record RuleVerdict(
        String rule, boolean kept, String figure, String bound, List<String> breaches) {}
