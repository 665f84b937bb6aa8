package sagepulley.cli;

import java.util.concurrent.CountDownLatch;

/** Keeps a command running until a termination signal, then shuts it down. */
final class SignalWait {
    private SignalWait() {}

    /**
     * Blocks until SIGTERM or SIGINT, then runs the shutdown and exits with 0, or with 1 if it
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
                                    // Halts so that the exit code is not that of the signal.
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
