package sagepulley.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletionException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import sagepulley.codec.frame.EventLoops;
import sagepulley.config.SiteConfig;
import sagepulley.frontend.nbd.NbdGateway;
import sagepulley.monitoring.MonitoringServer;

/** Runs a gateway from a site file. */
@Command(
        name = "gateway",
        mixinStandardHelpOptions = true,
        description =
                "Runs a gateway until a signal, then completes the requests in flight and exits with "
                        + "0.")
final class GatewayCommand implements Callable<Integer> {
    @Parameters(
            paramLabel = "SITE",
            description = "the site file (INI), see docs/operate/site-file.md")
    private Path file;

    @Override
    public Integer call() throws Exception {
        EventLoops.requireEpoll();
        SiteConfig site = SiteConfig.read(file);
        NbdGateway gateway = new NbdGateway(site, new SecureRandom().nextLong());
        gateway.start()
                .whenComplete(
                        (ready, failure) -> {
                            if (failure != null) {
                                System.err.println(
                                        "sagepulley: cannot listen on "
                                                + site.nbd()
                                                + ": "
                                                + failure.getMessage());
                                Runtime.getRuntime().halt(Commands.FAILED);
                            }
                            startMonitoring(site, gateway);
                            System.out.println(
                                    "ready: "
                                            + site.name()
                                            + " on "
                                            + site.nbd().host()
                                            + ":"
                                            + ready.address().getPort());
                        });
        return SignalWait.untilSignal(
                () -> {
                    try {
                        gateway.stop().join();
                    } catch (CompletionException e) {
                        throw new IllegalStateException("shutdown failed: " + e.getCause(), e);
                    }
                });
    }

    /**
     * Starts the monitoring server if the site configures one. A failure to bind its address does
     * not stop the gateway.
     */
    private static void startMonitoring(SiteConfig site, NbdGateway gateway) {
        if (site.monitoring() != null) {
            try {
                new MonitoringServer(site, gateway, site.monitoring().socket());
            } catch (IOException e) {
                System.err.println(
                        "sagepulley: cannot start the monitoring server on "
                                + site.monitoring()
                                + ": "
                                + e.getMessage());
            }
        }
    }
}
