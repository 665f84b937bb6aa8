package sagepulley.books;

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

/** Writes a gateway's accounts down from time to time, on a thread of its own; what fails is tried again. */
public final class BookKeeper implements AutoCloseable {
    private static final long LONGEST_COPY_SECONDS = 10;
    private static final Logger LOG = LoggerFactory.getLogger(BookKeeper.class);

    private final BookFile file;
    private final Supplier<CompletableFuture<GatewayBook>> source;
    private final ScheduledExecutorService writer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "accounts");
        thread.setDaemon(true);
        return thread;
    });
    private boolean failing;

    public BookKeeper(BookFile file, double every, Supplier<CompletableFuture<GatewayBook>> source) {
        this.file = file;
        this.source = source;
        long pause = (long) every;
        writer.scheduleWithFixedDelay(this::write, pause, pause, TimeUnit.MILLISECONDS);
    }

    private void write() {
        try {
            file.write(source.get().get(LONGEST_COPY_SECONDS, TimeUnit.SECONDS));
            if (failing) {
                LOG.atInfo().log("accounts are written again");
            }
            failing = false;
        } catch (IOException | ExecutionException | TimeoutException e) {
            if (!failing) {
                LOG.atWarn().addKeyValue("why", e.toString()).log("accounts not written; tried again each time");
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
            if (!writer.awaitTermination(LONGEST_COPY_SECONDS, TimeUnit.SECONDS)) {
                LOG.atWarn().log("accounts not written at the end");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
