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
 * New configurations. The file is read anew at SIGHUP, and again after a pause for as long as it
 * cannot be used. A process that was started with SIGHUP ignored, as nohup does, is never told: it
 * looks at its file instead, and a change counts as told. All on one thread, so that the last to
 * read the file is the last to be heard.
 */
final class ConfigReloader implements Closeable {
    private static final String HANG_UP = "HUP";
    private static final long RETRY_DELAY_MILLIS = 500;
    private static final long FILE_CHECK_INTERVAL_MILLIS = 500;

    private final Map<String, String> environment;
    private final RespGateway gateway;
    private final ScheduledExecutorService executor =
            Executors.newSingleThreadScheduledExecutor(new DefaultThreadFactory("reload", true));

    /**
     * What the file held when it was last looked at, and when that was; empty where it could not be
     * read.
     */
    private byte[] contents = {};

    private double checkedAt;

    /** Why the file could not be used, as it was last logged; null if it could. */
    private String lastFailure;

    private boolean retryScheduled;

    ConfigReloader(Map<String, String> environment, RespGateway gateway) {
        this.environment = environment;
        this.gateway = gateway;
    }

    /** From now on new configurations are acted on. */
    void start() {
        if (!SignalHandlers.isIgnored(HANG_UP)) {
            SignalHandlers.on(HANG_UP, () -> onReloadRequested(gateway.now()));
            return;
        }
        LogWriter.warn(
                "SIGHUP has been ignored since before the start, the configuration file is looked at instead");
        contents = contents();
        checkedAt = gateway.now();
        onReloadRequested(checkedAt); // the file may have changed since the start read it
        executor.scheduleWithFixedDelay(
                this::checkFile,
                FILE_CHECK_INTERVAL_MILLIS,
                FILE_CHECK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void onReloadRequested(double at) {
        gateway.onReloadNotified(at);
        try {
            executor.execute(this::reload);
        } catch (RejectedExecutionException ended) {
            LogWriter.info("a new configuration is told to a gateway that has ended");
        }
    }

    private void checkFile() {
        double before = checkedAt;
        checkedAt = gateway.now();
        byte[] fresh = contents();
        if (!Arrays.equals(fresh, contents)) {
            contents = fresh;
            onReloadRequested(before);
        }
    }

    private byte[] contents() {
        try {
            return Files.readAllBytes(Path.of(environment.getOrDefault("GW_CONFIG", "")));
        } catch (IOException | InvalidPathException unreadable) {
            return new byte[0];
        }
    }

    /**
     * Reads the file now; one that cannot be used leaves all as it was, and is read again later.
     */
    void reload() {
        double readAt = gateway.now();
        try {
            gateway.onConfigurationRead(GatewayConfig.read(environment), readAt);
            lastFailure = null;
        } catch (UnreadableConfigException unknown) {
            retryAfter(unknown);
        } catch (ConfigException bad) {
            gateway.onConfigurationUnusable(readAt);
            retryAfter(bad);
        }
    }

    private void retryAfter(ConfigException bad) {
        if (!bad.getMessage().equals(lastFailure)) {
            lastFailure = bad.getMessage();
            LogWriter.warn("the new configuration cannot be used", "why", lastFailure);
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
