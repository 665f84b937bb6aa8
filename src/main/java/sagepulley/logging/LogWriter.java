package sagepulley.logging;

import java.io.PrintStream;
import java.time.Instant;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes log lines of names and values to standard error on a separate thread.
 *
 * <p>Callers never block; lines that find the queue full are dropped and counted. Used instead of
 * Logback, whose classes would slow down the start of a gateway.
 */
public final class LogWriter {
    /**
     * Name prefix of threads whose log calls are ignored, because they run an in-process warm-up.
     */
    public static final String WARM_UP_THREAD_PREFIX = "rehearsal";

    private static final int MAX_QUEUED_LINES = 1000;
    private static final int MAX_QUEUED_CHARS = 500_000;
    private static final int MAX_VALUE_CHARS = 4000;
    private static final BlockingQueue<String> LINES = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private static final AtomicLong DROPPED = new AtomicLong();
    private static final AtomicLong UNWRITTEN = new AtomicLong();
    private static final AtomicLong QUEUED_CHARS = new AtomicLong();

    static {
        Thread writer = new Thread(() -> write(System.err), "log");
        writer.setDaemon(true);
        writer.start();
    }

    private LogWriter() {}

    /** Logs an event with alternating names and values. */
    public static void info(String event, Object... namesAndValues) {
        if (!isWarmUpThread()) {
            enqueue("INFO", event, namesAndValues);
        }
    }

    /** Logs an event that an operator should look into. */
    public static void warn(String event, Object... namesAndValues) {
        if (!isWarmUpThread()) {
            enqueue("WARN", event, namesAndValues);
        }
    }

    /** Returns whether the current thread belongs to an in-process warm-up, which does not log. */
    private static boolean isWarmUpThread() {
        return Thread.currentThread().getName().startsWith(WARM_UP_THREAD_PREFIX);
    }

    private static void enqueue(String level, String event, Object... namesAndValues) {
        StringBuilder line =
                new StringBuilder(200)
                        .append(Instant.now())
                        .append(' ')
                        .append(level)
                        .append(' ')
                        .append(event);
        for (int i = 0; i + 1 < namesAndValues.length; i += 2) {
            line.append(' ')
                    .append(namesAndValues[i])
                    .append('=')
                    .append(formatValue(namesAndValues[i + 1]));
        }
        UNWRITTEN.incrementAndGet();
        QUEUED_CHARS.addAndGet(line.length());
        if (QUEUED_CHARS.get() > MAX_QUEUED_CHARS || !LINES.offer(line.toString())) {
            QUEUED_CHARS.addAndGet(-line.length());
            UNWRITTEN.decrementAndGet();
            DROPPED.incrementAndGet();
        }
    }

    /** Formats a value on one line, quoted if it contains blanks or is empty. */
    private static String formatValue(Object value) {
        String text = String.valueOf(value);
        if (text.length() > MAX_VALUE_CHARS) {
            text = text.substring(0, MAX_VALUE_CHARS);
        }
        StringBuilder cleanText = new StringBuilder(text.length());
        boolean quoted = text.isEmpty();
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            quoted |= c == ' ';
            cleanText.append(c < ' ' || c == '"' || c == 127 ? '?' : c);
        }
        return quoted ? "\"" + cleanText + "\"" : cleanText.toString();
    }

    private static void write(PrintStream out) {
        try {
            while (true) {
                String line = LINES.take();
                QUEUED_CHARS.addAndGet(-line.length());
                out.println(line);
                UNWRITTEN.decrementAndGet();
                long dropped = DROPPED.getAndSet(0);
                if (dropped > 0) {
                    out.println(Instant.now() + " WARN log lines dropped count=" + dropped);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until all lines are written, or until the timeout. */
    public static void flush(long timeoutMillis) {
        long deadlineNanos = System.nanoTime() + timeoutMillis * 1_000_000;
        while (UNWRITTEN.get() > 0 && System.nanoTime() < deadlineNanos) {
            Thread.onSpinWait();
            try {
                Thread.sleep(1);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }
}
