package sagepulley.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import sagepulley.model.Operation;

/** Which operations are taken for a client's repeat, and when their target time ends. */
class RepeatWindowTest {
    private final FakeHost host = new FakeHost(1);
    private final RepeatWindow window = new RepeatWindow();

    private Operation operation() {
        return host.take(FakeHost.READ, 0);
    }

    private double target(Operation operation) {
        return operation.band.targetTime();
    }

    @Test
    void aRepeatKeepsTheTargetTimeOfItsFirstTry() {
        Operation operation = operation();
        window.endedUnserved(operation, 77);
        assertEquals(77, window.targetEndsOf(operation, 0.11 * target(operation), 1_000));
    }

    @Test
    void oneWithAllItsPatienceIsNoRepeat() {
        Operation operation = operation();
        window.endedUnserved(operation, 77);
        double ends = window.targetEndsOf(operation, 0.1 * target(operation), 1_000);
        assertEquals(1_000 + target(operation), ends);
    }

    @Test
    void oneOfAnExtentThatNothingIsKnownOfIsNoRepeat() {
        Operation operation = operation();
        double ends = window.targetEndsOf(operation, target(operation), 1_000);
        assertEquals(1_000 + target(operation), ends);
    }
}
