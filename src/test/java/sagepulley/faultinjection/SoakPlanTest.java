package sagepulley.faultinjection;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.Queue;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Guards against a change of the random draws: a seed gives the same faults at the same times in
 * every version.
 */
class SoakPlanTest {
    private static final long LENGTH_MILLIS = 24_000;
    private static final int GATEWAYS = 3;
    private static final int STORES = 6;
    private static final int SEEDS = 100;
    private static final String DIGEST =
            "da923f71f2ec1621ed3c155bd366fc9911203cce8d32a50414e297760b7338c2";

    @Test
    void sameSeedGivesSamePlanAcrossVersions() throws Exception {
        MessageDigest digest = MessageDigest.getInstance("SHA-256");
        for (long seed = 1; seed <= SEEDS; seed++) {
            Random random = new Random(seed);
            SoakActions unused = new SoakOperator(seed, null, null);
            SoakPlan plan = new SoakPlan(random, LENGTH_MILLIS, GATEWAYS, STORES, unused);
            Queue<SoakPlan.Event> events = plan.draw(seed % 2 == 0);
            while (!events.isEmpty()) {
                SoakPlan.Event event = events.poll();
                String line = event.atMillis() + " " + event.order() + " " + event.description();
                digest.update((line + "\n").getBytes(StandardCharsets.UTF_8));
            }
        }
        assertEquals(DIGEST, HexFormat.of().formatHex(digest.digest()));
    }
}
