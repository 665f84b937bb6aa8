package sagepulley.frontend.nbd;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sagepulley.discovery.directory.DirectoryClient;
import sagepulley.model.Deployment;
import sagepulley.model.TrafficClass;

/**
 * Finds the cells that a flush of a volume has to cover.
 *
 * <p>While the writes of earlier incarnations of this gateway are unknown, these are all cells that
 * hold an extent of the volume. The directory names them; if it does not answer in time, all cells
 * that this gateway knows take their place, and the next flush asks the directory again. What an
 * earlier incarnation acknowledges while it shuts down is durable ({@link NbdEngine#stop}), so one
 * answer of the directory is enough. Confined to the engine's event loop.
 */
final class FlushPlanner {
    private static final Logger LOG = LoggerFactory.getLogger(FlushPlanner.class);

    /** Share of a flush's time within which the directory has to name the holders. */
    private static final double DIRECTORY_WAIT_SHARE = 0.5;

    /** Passes each cell that this gateway knows to a consumer. */
    interface KnownCells {
        void forEach(ExportedVolume volume, IntConsumer cell);
    }

    private final EventLoop loop;
    private final DirectoryClient directory;
    private final ExtentLocator locator;
    private final Deployment deployment;
    private final KnownCells knownCells;

    /** Called with each flush whose cells are recorded in its volume's unflushed writes. */
    private final Consumer<PendingRequest> planned;

    private final Map<ExportedVolume, Lookup> lookups = new HashMap<>();

    private boolean closed;

    FlushPlanner(
            EventLoop loop,
            DirectoryClient directory,
            ExtentLocator locator,
            Deployment deployment,
            KnownCells knownCells,
            Consumer<PendingRequest> planned) {
        this.loop = loop;
        this.directory = directory;
        this.locator = locator;
        this.deployment = deployment;
        this.knownCells = knownCells;
        this.planned = planned;
    }

    /** Plans a flush; the consumer is called at once or once the holders are known. */
    void plan(PendingRequest flush) {
        if (flush.volume.unflushedWrites.earlierWritesKnown()) {
            planned.accept(flush);
            return;
        }
        Lookup running = lookups.get(flush.volume);
        if (running != null) {
            running.next.add(flush); // holders claimed after the lookup began may be missing
        } else {
            start(flush.volume, List.of(flush));
        }
    }

    /** Drops the flushes that wait. */
    void close() {
        closed = true;
    }

    private void start(ExportedVolume volume, List<PendingRequest> flushes) {
        Lookup lookup = new Lookup(volume, flushes);
        lookups.put(volume, lookup);
        lookup.run();
    }

    /** One lookup of a volume's holders, with the flushes that wait for it. */
    private final class Lookup implements HolderLookup.Listener {
        private final ExportedVolume volume;
        private final List<PendingRequest> flushes;
        private final Set<Integer> cells = new HashSet<>();

        /** Flushes that arrived after the lookup began. */
        final List<PendingRequest> next = new ArrayList<>();

        private ScheduledFuture<?> timeout;
        private boolean ended;

        Lookup(ExportedVolume volume, List<PendingRequest> flushes) {
            this.volume = volume;
            this.flushes = flushes;
        }

        void run() {
            TrafficClass trafficClass =
                    deployment.trafficClasses().get(volume.settings.writeTrafficClass());
            timeout =
                    loop.schedule(
                            () -> ended("no answer in time"),
                            (long) (trafficClass.deadline() * DIRECTORY_WAIT_SHARE),
                            TimeUnit.MILLISECONDS);
            new HolderLookup(directory, volume.settings.id(), locator.extentCount(volume), this)
                    .run();
        }

        @Override
        public void found(long firstExtent, int[] found) {
            for (int cell : found) {
                if (cell >= 0) {
                    cells.add(cell);
                }
            }
        }

        @Override
        public void ended(String failure) {
            if (ended || closed) {
                return;
            }
            ended = true;
            timeout.cancel(false);
            if (failure != null) {
                knownCells.forEach(volume, cells::add);
            }
            log(failure);
            UnflushedWrites writes = volume.unflushedWrites;
            cells.forEach(writes::recordEarlierWrites);
            if (failure == null) {
                writes.setEarlierWritesKnown();
            }
            lookups.remove(volume);
            flushes.forEach(planned);
            if (!next.isEmpty()) {
                start(volume, next);
            }
        }

        private void log(String failure) {
            (failure == null ? LOG.atInfo() : LOG.atWarn())
                    .addKeyValue("volume", volume.settings.name())
                    .addKeyValue("cells", cells.size())
                    .addKeyValue("holders-unknown", failure)
                    .log("flush covers writes of earlier starts");
        }
    }
}
