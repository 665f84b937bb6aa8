package sagepulley.membership;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Which overdue call is kept. */
class EndpointPollPolicyTest {
    @Test
    void theOldestStaysWhileItMayStillBeAnswered() {
        assertFalse(EndpointPollPolicy.oldestGivesWay(false, 12_000, Double.POSITIVE_INFINITY));
        assertFalse(EndpointPollPolicy.oldestGivesWay(false, 60_000, 2_500));
    }

    @Test
    void oneThatHasStalledOrWasNeverAnsweredGivesWay() {
        assertTrue(EndpointPollPolicy.oldestGivesWay(false, 12_001, Double.POSITIVE_INFINITY));
        assertTrue(EndpointPollPolicy.oldestGivesWay(false, 3_000, 2_501));
    }

    @Test
    void oneAtAnAddressThatDiscoveryHasLeftGivesWay() {
        assertTrue(EndpointPollPolicy.oldestGivesWay(true, 1, 1));
    }
}
