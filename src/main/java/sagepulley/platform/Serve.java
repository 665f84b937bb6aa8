package sagepulley.platform;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.util.Map;
import java.util.concurrent.CompletionException;

/** Runs one gateway on the platform in the foreground, until SIGTERM. */
public final class Serve {
    private static final long LAST_LINES_MS = 200;
    private static final int REHEARSED = 60;
    private static final long REHEARSAL_MS = 1_200;

    private Serve() {
    }

    /** Returns once the gateway has stopped. */
    public static void run(Map<String, String> environment) throws ConfigError {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        Config config = Config.read(environment);
        PlatformGateway gateway = new PlatformGateway(config, Transport.sockets());
        Signals.on("TERM", gateway::stop);
        Signals.on("INT", gateway::stop);
        Signals.on("HUP", () -> reload(gateway, environment));
        Log.quiet(true);
        Rehearsal.inside(REHEARSED, REHEARSAL_MS);
        Log.quiet(false);
        try {
            gateway.start().join();
        } catch (CompletionException e) {
            throw new ConfigError("cannot listen on " + config.listen() + ": " + e.getCause().getMessage());
        }
        Log.info("ready", "name", config.name(), "listen", config.listen(), "bands", config.deployment().bands());
        gateway.ended().join();
        Log.flush(LAST_LINES_MS);
    }

    private static void reload(PlatformGateway gateway, Map<String, String> environment) {
        try {
            gateway.reload(Config.read(environment));
        } catch (ConfigError bad) {
            Log.warn("the new configuration cannot be used", "why", bad.getMessage());
        }
    }
}
