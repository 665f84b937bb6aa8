package sagepulley.scenario;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * The verdict on one rule. The components are the fields of the JSON output.
 *
 * @param figure the measured value that came closest to the bound
 * @param bound the limit that the figure is compared with
 * @param breaches descriptions of the first breaches
 */
public record RuleVerdict(
        String rule,
        @JsonProperty("kept") boolean satisfied,
        String figure,
        String bound,
        List<String> breaches) {}
