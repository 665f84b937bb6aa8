package sagepulley.scenario;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * How one rule or promise was kept: the figure that came nearest to the bound, and the first
 * breaches.
 */
public record RuleVerdict(
        String rule,
        @JsonProperty("kept") boolean satisfied,
        String figure,
        String bound,
        List<String> breaches) {}
