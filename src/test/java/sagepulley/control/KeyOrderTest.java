package sagepulley.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import sagepulley.model.Operation;

/** Operations of one key, one after the other, and which keys are kept. */
class KeyOrderTest {
    private static final double REST = 100;

    private final FakeHost host = new FakeHost(1);
    private final KeyOrder order = new KeyOrder(REST);

    private Operation operation(long extent) {
        Operation like = host.take(FakeHost.READ, 0);
        return new Operation(
                like.id, like.band, like.volume, extent, 1, 0, host.now, host.now + 1_000, false);
    }

    @Test
    void theNextGoesFirstOnceTheOneBeforeHasLeft() {
        Operation one = operation(5);
        Operation two = operation(5);
        KeyOrder.Key key = order.enter(one, 0);
        assertSame(key, order.enter(two, 0));
        assertTrue(key.isFirst(one));
        assertFalse(key.isFirst(two));
        order.leave(key, one);
        assertTrue(key.isFirst(two));
    }

    @Test
    void aKeyRestsForTheNextOneThoughNothingOfItWasInHandMeanwhile() {
        Operation one = operation(5);
        KeyOrder.Key key = order.enter(one, 0);
        order.rest(key, 10);
        order.leave(key, one);
        assertSame(key, order.enter(operation(5), 10 + REST));
        assertEquals(10 + REST, key.restsUntil());
    }

    @Test
    void keysOfWhichNothingIsInHandAreForgottenOnceTheyHaveRested() {
        for (int extent = 1; extent <= 10_000; extent++) {
            Operation each = operation(extent);
            KeyOrder.Key key = order.enter(each, extent);
            order.rest(key, extent);
            order.leave(key, each);
        }
        assertTrue(order.size() <= REST + 2, "keys " + order.size());
    }

    @Test
    void aKeyThatIsUsedAgainIsKept() {
        Operation one = operation(5);
        KeyOrder.Key key = order.enter(one, 0);
        order.leave(key, one);
        Operation two = operation(5);
        KeyOrder.Key again = order.enter(two, 1);
        order.enter(operation(6), 2);
        assertSame(again, order.enter(operation(5), 3));
        assertTrue(again.isFirst(two));
    }
}
