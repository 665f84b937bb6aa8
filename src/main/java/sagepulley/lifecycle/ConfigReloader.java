package sagepulley.lifecycle;

import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import sagepulley.config.resp.ConfigException;
import sagepulley.config.resp.GatewayConfig;
import sagepulley.config.resp.UnreadableConfigException;
import sagepulley.frontend.resp.RespGateway;
import sagepulley.logging.LogWriter;

/**
 * Reloads the configuration file on SIGHUP, and retries for as long as the file is unreadable or
 * invalid.
 *
 * <p>A process that was started with SIGHUP ignored, as by nohup, receives no signal and polls the
 * file instead. All reads run on one thread, so that the configuration read last is also applied
 * last.
 */
final class ConfigReloader implements Closeable {
    private static final String HANGUP_SIGNAL = "HUP";
    private static final long RETRY_DELAY_MILLIS = 500;
    private static final long FILE_CHECK_INTERVAL_MILLIS = 500;

    private final Map<String, String> environment;
    private final RespGateway gateway;
    private final ScheduledExecutorService executor =
            Executors.newSingleThreadScheduledExecutor(new DefaultThreadFactory("reload", true));

    /** Contents of the file at the last check; empty if it could not be read. */
    private byte[] contents = {};

    private double checkedAt;

    /** Failure logged last; null if the last read succeeded. */
    private String lastFailure;

    private boolean retryScheduled;

    ConfigReloader(Map<String, String> environment, RespGateway gateway) {
        this.environment = environment;
        this.gateway = gateway;
    }

    /** Sets the SIGHUP handler, or starts polling the file if the signal is ignored. */
    void start() {
        if (!SignalHandlers.isIgnored(HANGUP_SIGNAL)) {
            SignalHandlers.setHandler(HANGUP_SIGNAL, () -> onReloadRequested(gateway.now()));
            return;
        }
        LogWriter.warn("SIGHUP is ignored, polling the configuration file instead");
        contents = readContents();
        checkedAt = gateway.now();
        onReloadRequested(checkedAt); // the file may have changed since the first read
        executor.scheduleWithFixedDelay(
                this::checkFile,
                FILE_CHECK_INTERVAL_MILLIS,
                FILE_CHECK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void onReloadRequested(double requestedAt) {
        gateway.onReloadNotified(requestedAt);
        try {
            executor.execute(this::reload);
        } catch (RejectedExecutionException ended) {
            LogWriter.info("configuration reload ignored, the gateway has stopped");
        }
    }

    private void checkFile() {
        double previousCheckAt = checkedAt;
        checkedAt = gateway.now();
        byte[] newContents = readContents();
        if (!Arrays.equals(newContents, contents)) {
            contents = newContents;
            onReloadRequested(previousCheckAt);
        }
    }

    private byte[] readContents() {
        try {
            return Files.readAllBytes(Path.of(environment.getOrDefault("GW_CONFIG", "")));
        } catch (IOException | InvalidPathException unreadable) {
            return new byte[0];
        }
    }

    /**
     * Reads and applies the file. If it is unreadable or invalid, the previous configuration stays
     * in effect and the file is read again later.
     */
    void reload() {
        double readAt = gateway.now();
        try {
            gateway.onConfigurationRead(GatewayConfig.read(environment), readAt);
            lastFailure = null;
        } catch (UnreadableConfigException unreadable) {
            scheduleRetry(unreadable);
        } catch (ConfigException invalid) {
            gateway.onConfigurationUnusable(readAt);
            scheduleRetry(invalid);
        }
    }

    private void scheduleRetry(ConfigException failure) {
        if (!failure.getMessage().equals(lastFailure)) {
            lastFailure = failure.getMessage();
            LogWriter.warn("configuration reload failed", "reason", lastFailure);
        }
        if (!retryScheduled) {
            retryScheduled = true;
            executor.schedule(this::retry, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void retry() {
        retryScheduled = false;
        if (lastFailure != null) {
            reload();
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
