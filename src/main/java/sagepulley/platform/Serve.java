package sagepulley.platform;

import java.util.Map;
import java.util.concurrent.CompletionException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs one gateway on the platform in the foreground, until SIGTERM. */
public final class Serve {
    private static final Logger LOG = LoggerFactory.getLogger(Serve.class);

    private Serve() {
    }

    /** Returns once the gateway has stopped. */
    public static void run(Map<String, String> environment) throws ConfigError {
        Config config = Config.read(environment);
        PlatformGateway gateway = new PlatformGateway(config);
        Signals.on("TERM", gateway::stop);
        Signals.on("INT", gateway::stop);
        Signals.on("HUP", () -> reload(gateway, environment));
        try {
            gateway.start().join();
        } catch (CompletionException e) {
            throw new ConfigError("cannot listen on " + config.listen() + ": " + e.getCause().getMessage());
        }
        LOG.atInfo().addKeyValue("name", config.name()).addKeyValue("listen", config.listen()).log("ready");
        gateway.ended().join();
    }

    private static void reload(PlatformGateway gateway, Map<String, String> environment) {
        try {
            gateway.reload(Config.read(environment));
        } catch (ConfigError bad) {
            LOG.atError().addKeyValue("why", bad.getMessage()).log("the new configuration cannot be used");
        }
    }
}
