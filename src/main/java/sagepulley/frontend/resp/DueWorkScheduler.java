package sagepulley.frontend.resp;

import io.netty.channel.EventLoop;
import sagepulley.codec.frame.EventLoopTimer;
import sagepulley.engine.Clock;
import sagepulley.engine.GatewayEngine;

/**
 * Runs the engine's due work, once for all events of a loop iteration and at the wake-up time that
 * the engine requests. Runs on the event loop.
 */
final class DueWorkScheduler {
    private static final double RETRY_DELAY_MILLIS = 100;

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

    /**
     * Schedules the due work as a later task, so that one run covers all events of the current loop
     * iteration.
     */
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

    /** Runs the due work; if it fails, it runs again a little later. */
    void runNow() {
        boolean succeeded = false;
        try {
            engine.runDueWork(clock.now());
            succeeded = true;
        } finally {
            if (!succeeded) {
                wakeUpAt(clock.now() + RETRY_DELAY_MILLIS);
            }
        }
    }

    /** Schedules the due work for this time at the latest; an infinite time has no effect. */
    void wakeUpAt(double time) {
        wakeUpTimer.scheduleBy(time);
    }
}
