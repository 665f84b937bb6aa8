package sagepulley.platform;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import sagepulley.model.Band;

/** Runs one gateway on the platform in the foreground, until SIGTERM. */
public final class Serve {
    private static final long LAST_LINES_MS = 200;
    private static final int REHEARSED = 60;
    private static final long REHEARSAL_MS = 1_200;

    private Serve() {}

    /** Returns once the gateway has stopped. */
    public static void run(Map<String, String> environment) throws ConfigError {
        run(environment, gateway -> {});
    }

    /** The same; the task is given the gateway once it is ready. */
    static void run(Map<String, String> environment, Consumer<PlatformGateway> whenReady)
            throws ConfigError {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        Config config = Config.read(environment);
        PlatformGateway gateway = new PlatformGateway(config, Transport.sockets());
        Signals.on("TERM", gateway::stop);
        Signals.on("INT", gateway::stop);
        Reloads reloads = new Reloads(environment, gateway);
        gateway.begin();
        reloads.begin();
        Rehearsal.inside(REHEARSED, REHEARSAL_MS);
        try {
            gateway.start().join();
        } catch (CompletionException e) {
            throw new ConfigError(
                    "cannot listen on " + config.listen() + ": " + e.getCause().getMessage());
        }
        Log.info(
                "ready",
                "name",
                config.name(),
                "listen",
                config.listen(),
                "bands",
                bands(config),
                "idle-time",
                config.idleTime(),
                "connect-timeout",
                config.connectTimeout());
        whenReady.accept(gateway);
        gateway.ended().join();
        reloads.close();
        Log.flush(LAST_LINES_MS);
    }

    /** Each with its target time and patience. */
    private static String bands(Config config) {
        StringBuilder all = new StringBuilder();
        for (Band band : config.deployment().bands()) {
            all.append(all.isEmpty() ? "" : ",")
                    .append(band.name())
                    .append(':')
                    .append(band.targetTime())
                    .append('/')
                    .append(band.patience());
        }
        return all.toString();
    }
}
