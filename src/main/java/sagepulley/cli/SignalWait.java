package sagepulley.cli;

import java.util.concurrent.CountDownLatch;

/** Keeps a command running until a signal, then ends it well. */
final class SignalWait {
    private SignalWait() {}

    /**
     * Blocks for good; at SIGTERM or SIGINT runs the end and exits with 0, or with 1 if it fails.
     */
    static int untilSignal(Runnable end) {
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    int code = Commands.OK;
                                    try {
                                        end.run();
                                    } catch (RuntimeException e) {
                                        System.err.println("sagepulley: " + e.getMessage());
                                        code = Commands.FAILED;
                                    }
                                    System.out.flush();
                                    // Left alone, the exit code would be the signal's, though the
                                    // end was a good one.
                                    Runtime.getRuntime().halt(code);
                                },
                                "end"));
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return Commands.OK;
    }
}
