package sagepulley.cli;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sagepulley.config.HostPort;
import sagepulley.monitoring.MonitoringServer;

/** Displays the volumes and nodes of a running gateway and refreshes them periodically. */
@Command(
        name = "top",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description =
                "Shows a running gateway's volumes, most utility lost first, and its nodes in the "
                        + "terminal, from its accounts of the last ten minutes ([watch] listen).")
final class TopCommand implements Callable<Integer> {
    private static final String CLEAR_SCREEN = "\u001b[H\u001b[2J";
    private static final double MILLIS_PER_SECOND = 1000;

    @Parameters(
            paramLabel = "HOST:PORT",
            converter = AddressConverter.class,
            description = "address of the gateway's [watch] listen")
    private HostPort address;

    @Option(
            names = "--every",
            defaultValue = "2",
            paramLabel = "SECONDS",
            description = "refresh interval (default: ${DEFAULT-VALUE})")
    private double intervalSeconds;

    @Option(
            names = "--rows",
            defaultValue = "20",
            description = "maximum rows of volumes and of nodes (default: ${DEFAULT-VALUE})")
    private int rows;

    @Option(names = "--once", description = "prints once and exits")
    private boolean once;

    @Option(names = "--json", description = "prints once, as JSON")
    private boolean json;

    @Override
    public Integer call() throws Exception {
        MonitoringClient client = new MonitoringClient(address);
        while (true) {
            String response = client.get("/accounts");
            if (json) {
                System.out.println(response);
                return Commands.OK;
            }
            MonitoringServer.View view =
                    JsonMapper.builder()
                            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                            .build()
                            .readValue(response, MonitoringServer.View.class);
            System.out.print((once ? "" : CLEAR_SCREEN) + new TopScreen(view, rows).render());
            if (once) {
                return Commands.OK;
            }
            Thread.sleep((long) (intervalSeconds * MILLIS_PER_SECOND));
        }
    }
}
