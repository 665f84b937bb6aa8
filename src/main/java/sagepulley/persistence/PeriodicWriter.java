package sagepulley.persistence;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes a value at regular intervals, on a thread of its own, so that no disk ever holds up the
 * value's owner. A failure is logged once, and the write repeated at each interval.
 *
 * @param <T> what is written; a source that gives null has nothing new
 */
public final class PeriodicWriter<T> implements AutoCloseable {
    /** Where values go. */
    public interface Sink<T> {
        /** Puts a value on the disk; on the writer's thread. */
        void write(T value) throws IOException;
    }

    private static final long WRITE_TIMEOUT_SECONDS = 10;
    private static final Logger LOG = LoggerFactory.getLogger(PeriodicWriter.class);

    private final String name;
    private final Supplier<CompletableFuture<T>> source;
    private final Sink<T> sink;
    private final ScheduledExecutorService executor;

    /** Whether the latest write failed; on the writer's thread. */
    private boolean lastWriteFailed;

    /**
     * Starts the thread.
     *
     * @param name of the thread, and of the value in the log
     * @param intervalMillis from the end of one write to the start of the next
     * @param source called on the writer's thread; the value may be made on another
     */
    public PeriodicWriter(
            String name,
            double intervalMillis,
            Supplier<CompletableFuture<T>> source,
            Sink<T> sink) {
        this.name = name;
        this.source = source;
        this.sink = sink;
        this.executor =
                Executors.newSingleThreadScheduledExecutor(
                        task -> {
                            Thread thread = new Thread(task, name);
                            thread.setDaemon(true);
                            return thread;
                        });
        executor.scheduleWithFixedDelay(
                this::write, (long) intervalMillis, (long) intervalMillis, TimeUnit.MILLISECONDS);
    }

    private void write() {
        try {
            T value = source.get().get(WRITE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            if (value == null) {
                return;
            }
            sink.write(value);
            if (lastWriteFailed) {
                LOG.atInfo().addKeyValue("what", name).log("writes succeed again");
            }
            lastWriteFailed = false;
        } catch (IOException | ExecutionException | TimeoutException | RuntimeException e) {
            if (!lastWriteFailed) {
                LOG.atWarn()
                        .addKeyValue("what", name)
                        .addKeyValue("why", e.toString())
                        .log("write failed, retried at each interval");
            }
            lastWriteFailed = true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends without a last write, as a killed process would. */
    public void kill() {
        executor.shutdownNow();
    }

    /** Writes once more and ends; waits for that for a bounded time. */
    @Override
    public void close() {
        executor.execute(this::write);
        executor.shutdown();
        try {
            if (!executor.awaitTermination(WRITE_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                LOG.atWarn().addKeyValue("what", name).log("last write timed out");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
