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
 * Writes something down from time to time, on a thread of its own, so that no disk ever holds up
 * who owns it; what fails is logged once and tried again each time.
 *
 * @param <T> what is written; a source that gives null has nothing new
 */
public final class PeriodicWriter<T> implements AutoCloseable {
    /** Puts it on the disk. */
    public interface Sink<T> {
        void write(T what) throws IOException;
    }

    private static final long LONGEST_SECONDS = 10;
    private static final Logger LOG = LoggerFactory.getLogger(PeriodicWriter.class);

    private final String name;
    private final Supplier<CompletableFuture<T>> source;
    private final Sink<T> sink;
    private final ScheduledExecutorService writer;
    private boolean failing;

    /** Every so many milliseconds, the pauses counted from one end to the next begin. */
    public PeriodicWriter(
            String name, double every, Supplier<CompletableFuture<T>> source, Sink<T> sink) {
        this.name = name;
        this.source = source;
        this.sink = sink;
        this.writer =
                Executors.newSingleThreadScheduledExecutor(
                        task -> {
                            Thread thread = new Thread(task, name);
                            thread.setDaemon(true);
                            return thread;
                        });
        writer.scheduleWithFixedDelay(
                this::write, (long) every, (long) every, TimeUnit.MILLISECONDS);
    }

    private void write() {
        try {
            T what = source.get().get(LONGEST_SECONDS, TimeUnit.SECONDS);
            if (what == null) {
                return;
            }
            sink.write(what);
            if (failing) {
                LOG.atInfo().addKeyValue("what", name).log("written again");
            }
            failing = false;
        } catch (IOException | ExecutionException | TimeoutException | RuntimeException e) {
            if (!failing) {
                LOG.atWarn()
                        .addKeyValue("what", name)
                        .addKeyValue("why", e.toString())
                        .log("not written; tried again each time");
            }
            failing = true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends without writing, as a kill would. */
    public void kill() {
        writer.shutdownNow();
    }

    /** Writes once more and ends. */
    @Override
    public void close() {
        writer.execute(this::write);
        writer.shutdown();
        try {
            if (!writer.awaitTermination(LONGEST_SECONDS, TimeUnit.SECONDS)) {
                LOG.atWarn().addKeyValue("what", name).log("not written at the end");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
