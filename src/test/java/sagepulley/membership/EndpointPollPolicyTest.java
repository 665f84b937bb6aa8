package sagepulley.membership;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Checks which overdue poll stays open. */
class EndpointPollPolicyTest {
    @Test
    void oldestPollIsKeptWithinItsTimeouts() {
        assertFalse(EndpointPollPolicy.shouldDropOldest(false, 12_000, Double.POSITIVE_INFINITY));
        assertFalse(EndpointPollPolicy.shouldDropOldest(false, 60_000, 2_500));
    }

    @Test
    void pollPastItsTimeoutIsDropped() {
        assertTrue(EndpointPollPolicy.shouldDropOldest(false, 12_001, Double.POSITIVE_INFINITY));
        assertTrue(EndpointPollPolicy.shouldDropOldest(false, 3_000, 2_501));
    }

    @Test
    void pollAtFormerAddressIsDropped() {
        assertTrue(EndpointPollPolicy.shouldDropOldest(true, 1, 1));
    }
}
