package sagepulley.lifecycle;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.IntConsumer;

/**
 * Ends the process when the thread of the event loop ends, because nothing is served without it.
 *
 * <p>Everything that it needs is allocated at the start, since the thread may have ended for lack
 * of memory or file descriptors.
 */
final class EventLoopGuard implements Runnable {
    /** Exit status of an internal software error (sysexits.h, EX_SOFTWARE). */
    static final int EXIT_STATUS = 70;

    private static final String LOG_LINE =
            "ERROR event loop ended, ending the process status=" + EXIT_STATUS + "\n";

    private final byte[] logLine = LOG_LINE.getBytes(StandardCharsets.US_ASCII);
    private final OutputStream log;
    private final IntConsumer exit;

    EventLoopGuard() {
        this(new FileOutputStream(FileDescriptor.err), Runtime.getRuntime()::halt);
    }

    /** Creates a guard that logs to the stream and ends the process by the given action. */
    EventLoopGuard(OutputStream log, IntConsumer exit) {
        this.log = log;
        this.exit = exit;
    }

    @Override
    public void run() {
        try {
            log.write(logLine);
        } catch (IOException unwritable) {
            // The exit status is all that is left to tell.
        } finally {
            exit.accept(EXIT_STATUS);
        }
    }
}
