package sagepulley.frontend.resp;

import io.netty.channel.EventLoop;
import sagepulley.codec.frame.EventLoopTimer;
import sagepulley.engine.Clock;
import sagepulley.engine.GatewayEngine;

/**
 * Runs the engine's due work: once for all events of one turn of the event loop, and again at the
 * time that the engine asked for. Runs on the event loop.
 */
final class DueWorkScheduler {
    private final EventLoop loop;
    private final Clock clock;
    private final GatewayEngine engine;
    private final EventLoopTimer wakeUpTimer;
    private boolean scheduled;

    DueWorkScheduler(EventLoop loop, Clock clock, GatewayEngine engine) {
        this.loop = loop;
        this.clock = clock;
        this.engine = engine;
        this.wakeUpTimer = new EventLoopTimer(loop, clock::now, this::runNow);
    }

    /** Runs the due work in a later task of this turn, together with that of other events. */
    void schedule() {
        if (!scheduled) {
            scheduled = true;
            loop.execute(
                    () -> {
                        scheduled = false;
                        runNow();
                    });
        }
    }

    void runNow() {
        engine.runDueWork(clock.now());
    }

    /** Runs the due work at this time at the latest; infinite: at the next event. */
    void wakeUpAt(double time) {
        wakeUpTimer.by(time);
    }
}
