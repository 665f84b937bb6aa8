package sagepulley.scheduler;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Which overdue call is kept. */
class ListCallPolicyTest {
    @Test
    void theOldestStaysWhileItMayStillBeAnswered() {
        assertFalse(ListCallPolicy.oldestGivesWay(false, 12_000, Double.POSITIVE_INFINITY));
        assertFalse(ListCallPolicy.oldestGivesWay(false, 60_000, 2_500));
    }

    @Test
    void oneThatHasStalledOrWasNeverAnsweredGivesWay() {
        assertTrue(ListCallPolicy.oldestGivesWay(false, 12_001, Double.POSITIVE_INFINITY));
        assertTrue(ListCallPolicy.oldestGivesWay(false, 3_000, 2_501));
    }

    @Test
    void oneAtAnAddressThatDiscoveryHasLeftGivesWay() {
        assertTrue(ListCallPolicy.oldestGivesWay(true, 1, 1));
    }
}
