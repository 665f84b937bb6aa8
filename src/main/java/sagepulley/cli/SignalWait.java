package sagepulley.cli;

import java.util.concurrent.CountDownLatch;

/** Keeps a command running until a signal, then shuts it down. */
final class SignalWait {
    private SignalWait() {}

    /**
     * Blocks for good; at SIGTERM or SIGINT runs the shutdown and exits with 0, or with 1 if that
     * fails.
     */
    static int untilSignal(Runnable shutdown) {
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    int code = Commands.OK;
                                    try {
                                        shutdown.run();
                                    } catch (RuntimeException e) {
                                        System.err.println("sagepulley: " + e.getMessage());
                                        code = Commands.FAILED;
                                    }
                                    System.out.flush();
                                    // Without halt the exit code would be the signal's even after a
                                    // clean shutdown.
                                    Runtime.getRuntime().halt(code);
                                },
                                "shutdown"));
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return Commands.OK;
    }
}
