package sagepulley.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sagepulley.site.HostPort;

/** Shows what a running gateway knows of its nodes. */
@Command(name = "nodes", mixinStandardHelpOptions = true, sortOptions = false,
        description = "Shows what a running gateway knows of its nodes: how far the list is believed and for what age, "
                + "and each node's use with the reason for it ([watch] listen).")
final class NodesCommand implements Callable<Integer> {
    @Parameters(paramLabel = "HOST:PORT", converter = AddressConverter.class, description = "of the gateway's [watch]")
    private HostPort address;

    @Option(names = "--json", description = "prints it as JSON")
    private boolean json;

    @Override
    public Integer call() throws Exception {
        HttpClient client = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(3)).build();
        HttpResponse<String> answer = client.send(HttpRequest.newBuilder(URI.create("http://" + address + "/nodes"))
                .timeout(Duration.ofSeconds(10)).build(), HttpResponse.BodyHandlers.ofString());
        if (answer.statusCode() != 200) {
            throw new IOException(address + " answers with status " + answer.statusCode());
        }
        if (json) {
            System.out.println(answer.body());
            return Commands.OK;
        }
        JsonNode view = new JsonMapper().readTree(answer.body());
        double age = view.path("age").asDouble();
        System.out.printf(Locale.ROOT, "gateway %s: list %s, %s; directory %s; extents known from disk only: %d%n%n",
                view.path("gateway").asText(), view.path("trust").asText().toLowerCase(Locale.ROOT),
                Double.isFinite(age) ? String.format(Locale.ROOT, "confirmed %.0f s ago", age / 1000)
                        : "never confirmed", view.path("directory").asBoolean() ? "reached" : "not reached",
                view.path("unverifiedExtents").asInt());
        System.out.printf("%6s %6s %5s  %-9s %-9s %-7s %-10s %s%n", "node", "cell", "zone", "use", "new", "proven",
                "from", "why");
        for (JsonNode node : view.path("nodes")) {
            JsonNode line = node.path("line");
            System.out.printf("%6d %6d %5d  %-9s %-9s %-7s %-10s %s%n", line.path("node").asInt(),
                    line.path("cell").asInt(), line.path("zone").asInt(), word(node, "use"),
                    node.path("takesNew").asBoolean() ? "takes" : "no", node.path("proven").asBoolean() ? "yes" : "no",
                    word(node, "source"), node.path("reason").asText());
        }
        return Commands.OK;
    }

    private static String word(JsonNode node, String field) {
        return node.path(field).asText().toLowerCase(Locale.ROOT);
    }
}
