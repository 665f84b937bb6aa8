package sagepulley.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sagepulley.config.HostPort;

/** Prints a running gateway's view of its nodes. */
@Command(
        name = "nodes",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description =
                "Shows a running gateway's view of its nodes: the freshness and age of the endpoint list, "
                        + "and how each node is used and why ([watch] listen).")
final class NodesCommand implements Callable<Integer> {
    @Parameters(
            paramLabel = "HOST:PORT",
            converter = AddressConverter.class,
            description = "address of the gateway's [watch] listen")
    private HostPort address;

    @Option(names = "--json", description = "prints it as JSON")
    private boolean json;

    @Override
    public Integer call() throws Exception {
        String response = new MonitoringClient(address).get("/nodes");
        if (json) {
            System.out.println(response);
            return Commands.OK;
        }
        JsonNode view = new JsonMapper().readTree(response);
        double ageMillis = view.path("age").asDouble();
        System.out.printf(
                Locale.ROOT,
                "gateway %s: list %s, %s; directory %s; extents known from disk only: %d%n%n",
                view.path("gateway").asText(),
                view.path("trust").asText().toLowerCase(Locale.ROOT),
                Double.isFinite(ageMillis)
                        ? String.format(Locale.ROOT, "confirmed %.0f s ago", ageMillis / 1000)
                        : "never confirmed",
                view.path("directory").asBoolean() ? "reached" : "not reached",
                view.path("unverifiedExtents").asInt());
        System.out.printf(
                "%6s %6s %5s  %-9s %-9s %-7s %-10s %s%n",
                "node", "cell", "zone", "use", "new", "proven", "from", "why");
        for (JsonNode node : view.path("nodes")) {
            JsonNode entry = node.path("line");
            System.out.printf(
                    "%6d %6d %5d  %-9s %-9s %-7s %-10s %s%n",
                    entry.path("node").asInt(),
                    entry.path("cell").asInt(),
                    entry.path("zone").asInt(),
                    lowerCaseText(node, "use"),
                    node.path("takesNew").asBoolean() ? "takes" : "no",
                    node.path("proven").asBoolean() ? "yes" : "no",
                    lowerCaseText(node, "source"),
                    node.path("reason").asText());
        }
        return Commands.OK;
    }

    private static String lowerCaseText(JsonNode node, String field) {
        return node.path(field).asText().toLowerCase(Locale.ROOT);
    }
}
