package sagepulley.platform;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import sagepulley.model.TrafficClass;

/** Runs one gateway on the platform in the foreground, until SIGTERM. */
public final class GatewayServer {
    private static final long LAST_LINES_MS = 200;
    private static final int REHEARSED = 60;
    private static final long REHEARSAL_MS = 1_200;

    private GatewayServer() {}

    /** Returns once the gateway has stopped. */
    public static void run(Map<String, String> environment) throws ConfigException {
        run(environment, gateway -> {});
    }

    /** The same; the task is given the gateway once it is ready. */
    static void run(Map<String, String> environment, Consumer<RespGateway> whenReady)
            throws ConfigException {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        Config config = Config.read(environment);
        RespGateway gateway = new RespGateway(config, Transport.sockets());
        SignalHandlers.on("TERM", gateway::stop);
        SignalHandlers.on("INT", gateway::stop);
        ConfigReloader reloads = new ConfigReloader(environment, gateway);
        gateway.begin();
        reloads.begin();
        WarmUpRun.inside(REHEARSED, REHEARSAL_MS);
        try {
            gateway.start().join();
        } catch (CompletionException e) {
            throw new ConfigException(
                    "cannot listen on " + config.listen() + ": " + e.getCause().getMessage());
        }
        LogWriter.info(
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
        LogWriter.flush(LAST_LINES_MS);
    }

    /** Each with its target time and patience. */
    private static String bands(Config config) {
        StringBuilder all = new StringBuilder();
        for (TrafficClass trafficClass : config.deployment().trafficClasses()) {
            all.append(all.isEmpty() ? "" : ",")
                    .append(trafficClass.name())
                    .append(':')
                    .append(trafficClass.latencyObjective())
                    .append('/')
                    .append(trafficClass.deadline());
        }
        return all.toString();
    }
}
