package sagepulley.lifecycle;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import sagepulley.codec.frame.EpollUnavailableException;
import sagepulley.codec.frame.EventLoops;
import sagepulley.config.resp.ConfigException;
import sagepulley.config.resp.GatewayConfig;
import sagepulley.frontend.resp.RespGateway;
import sagepulley.logging.LogWriter;
import sagepulley.model.TrafficClass;
import sagepulley.transport.Transport;

/** Runs a RESP gateway in the foreground until SIGTERM or SIGINT. */
public final class GatewayServer {
    private static final long LOG_FLUSH_TIMEOUT_MILLIS = 200;
    private static final int WARM_UP_OPERATIONS = 60;
    private static final long WARM_UP_TIMEOUT_MILLIS = 1_200;

    private GatewayServer() {}

    /**
     * Runs a gateway until it has stopped.
     *
     * @throws ConfigException if the configuration is invalid or its address cannot be listened on
     * @throws EpollUnavailableException if this machine has no epoll transport
     */
    public static void run(Map<String, String> environment)
            throws ConfigException, EpollUnavailableException {
        run(environment, gateway -> {});
    }

    /** Runs a gateway until it has stopped, and calls the consumer once clients can connect. */
    static void run(Map<String, String> environment, Consumer<RespGateway> onReady)
            throws ConfigException, EpollUnavailableException {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        EventLoops.requireEpoll();
        GatewayConfig config = GatewayConfig.read(environment);
        RespGateway gateway = new RespGateway(config, Transport.sockets(new EventLoopGuard()));
        SignalHandlers.setHandler("TERM", gateway::stop);
        SignalHandlers.setHandler("INT", gateway::stop);
        ConfigReloader reloader = new ConfigReloader(environment, gateway);
        gateway.connectToDiscovery();
        reloader.start();
        WarmUpRun.inProcess(WARM_UP_OPERATIONS, WARM_UP_TIMEOUT_MILLIS);
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
                "transport",
                EventLoops.transportName(),
                "traffic-classes",
                describeTrafficClasses(config),
                "idle-timeout-ms",
                config.idleTimeoutMillis(),
                "connect-timeout-ms",
                config.connectTimeoutMillis());
        onReady.accept(gateway);
        gateway.stopped().join();
        reloader.close();
        LogWriter.flush(LOG_FLUSH_TIMEOUT_MILLIS);
    }

    /** Formats each traffic class with its latency objective and deadline in milliseconds. */
    private static String describeTrafficClasses(GatewayConfig config) {
        StringBuilder description = new StringBuilder();
        for (TrafficClass trafficClass : config.deployment().trafficClasses()) {
            description
                    .append(description.isEmpty() ? "" : ",")
                    .append(trafficClass.name())
                    .append(':')
                    .append(trafficClass.latencyObjective())
                    .append('/')
                    .append(trafficClass.deadline());
        }
        return description.toString();
    }
}
