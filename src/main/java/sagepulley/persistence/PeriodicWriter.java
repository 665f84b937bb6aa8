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
 * Writes a value periodically on a background thread, so that disk I/O never blocks the owner of
 * the value. Writes are retried at each interval; only the first of consecutive failures is logged.
 *
 * @param <T> type of the value; a source that supplies null has nothing new to write
 */
public final class PeriodicWriter<T> implements AutoCloseable {
    /** Writes values to disk. */
    public interface Sink<T> {
        /** Writes a value. Called on the writer's thread. */
        void write(T value) throws IOException;
    }

    /** Limits the wait for a value from the source, and for the final write at close. */
    private static final long WRITE_TIMEOUT_SECONDS = 10;

    private static final Logger LOG = LoggerFactory.getLogger(PeriodicWriter.class);

    private final String name;
    private final Supplier<CompletableFuture<T>> source;
    private final Sink<T> sink;
    private final ScheduledExecutorService executor;

    /** Whether the latest write failed. Confined to the writer's thread. */
    private boolean lastWriteFailed;

    /**
     * Starts the periodic writes.
     *
     * @param name name of the thread, and of the value in log messages
     * @param intervalMillis time from the end of one write to the start of the next
     * @param source supplies the value; called on the writer's thread, may complete on another
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

    /** Stops without a final write, like a killed process. */
    public void kill() {
        executor.shutdownNow();
    }

    /** Writes a final time and stops; waits for the write up to a timeout. */
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
