package sagepulley.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Instant;
import java.time.ZoneId;
import java.time.format.DateTimeFormatter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sagepulley.accounts.LatencyComponent;

/** Prints the steps and attempts of one operation in time order, from a traces file. */
@Command(
        name = "explain",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description =
                "Prints the steps and attempts of an operation in time order, from a gateway's traces "
                        + "([traces] file); by default those of the longest operation.")
final class ExplainCommand implements Callable<Integer> {
    private static final DateTimeFormatter TIME_FORMAT =
            DateTimeFormatter.ofPattern("yyyy-MM-dd HH:mm:ss.SSS");

    @Parameters(
            index = "0",
            paramLabel = "FILE",
            description = "the traces file; its rotated files are read too")
    private Path file;

    @Parameters(
            index = "1",
            arity = "0..1",
            paramLabel = "OPERATION",
            description = "number of the operation")
    private Long operation;

    @Option(names = "--volume", paramLabel = "NAME", description = "only operations of this volume")
    private String volume;

    @Option(
            names = "--list",
            paramLabel = "N",
            description = "lists the N longest operations instead")
    private int listCount;

    @Option(names = "--json", description = "prints the spans as JSON")
    private boolean json;

    @Override
    public Integer call() throws IOException {
        TraceFile traces = TraceFile.read(file);
        if (traces.unreadableLines() > 0) {
            System.err.println(
                    "sagepulley: skipped "
                            + traces.unreadableLines()
                            + " lines of "
                            + file
                            + " that are not spans");
        }
        List<Span> operations = traces.operations(operation, volume);
        if (operations.isEmpty()) {
            throw new IOException(
                    file
                            + ": no trace of "
                            + (operation == null ? "an operation" : "operation " + operation)
                            + (volume == null ? "" : " of volume " + volume)
                            + "; only sampled operations have one, see docs/operate/accounts.md");
        }
        if (listCount > 0) {
            operations.stream().limit(listCount).forEach(ExplainCommand::printSummary);
            return Commands.OK;
        }
        Span longest = operations.get(0);
        List<Span> children = traces.children(longest);
        if (json) {
            printJson(longest, children);
        } else {
            printOperation(longest);
            children.forEach(child -> printChild(longest, child));
        }
        return Commands.OK;
    }

    private static void printJson(Span root, List<Span> children) throws IOException {
        List<JsonNode> nodes = new ArrayList<>();
        nodes.add(root.json());
        children.forEach(child -> nodes.add(child.json()));
        System.out.println(new JsonMapper().writeValueAsString(nodes));
    }

    private static void printSummary(Span root) {
        System.out.printf(
                Locale.ROOT,
                "%10d  %9.1f ms  %-9s  %-16s  %s  %s%n",
                root.operation(),
                root.durationMillis(),
                root.text("result"),
                root.volume(),
                formatTime(root),
                root.text("main_cause"));
    }

    private static String formatTime(Span span) {
        return TIME_FORMAT.format(
                Instant.ofEpochMilli(span.startNanos() / 1_000_000).atZone(ZoneId.systemDefault()));
    }

    private static void printOperation(Span root) {
        System.out.printf(
                Locale.ROOT,
                "operation %d at gateway %s, %s%n",
                root.operation(),
                root.text("gateway"),
                formatTime(root));
        System.out.printf(
                Locale.ROOT,
                "  a %s of %.2f units in extent %d of volume %s, band %s, NBD cookie %d%n",
                root.text("kind"),
                root.json().path("units").asDouble(),
                root.json().path("extent").asLong(),
                root.volume(),
                root.text("band"),
                root.json().path("cookie").asLong());
        String reason = root.text("reason");
        System.out.printf(
                Locale.ROOT,
                "  %s after %.3f ms%s; most of it by %s%n",
                root.text("result"),
                root.durationMillis(),
                reason.equals("none") ? "" : " (" + reason.replace('_', ' ') + ")",
                root.text("main_cause"));
        System.out.printf(
                Locale.ROOT,
                "  kept as %s, for %.0f such%n",
                root.text("kept"),
                root.json().path("stands_for").asDouble());
    }

    private static void printChild(Span root, Span child) {
        if (child.isAttempt()) {
            System.out.printf(
                    Locale.ROOT,
                    "  +%10.3f ms  hop %d goes to node %d, by its %s: %s after %.3f ms%n",
                    child.millisAfter(root),
                    child.json().path("number").asInt() + 1,
                    child.node(),
                    child.text("owed"),
                    child.text("result").replace('_', ' '),
                    child.durationMillis());
        } else {
            System.out.printf(
                    Locale.ROOT,
                    "  +%10.3f ms    %.3f ms %s%s%n",
                    child.millisAfter(root),
                    child.durationMillis(),
                    component(child.text("spent")),
                    child.node() == 0 ? "" : " (node " + child.node() + ")");
        }
    }

    private static String component(String name) {
        for (LatencyComponent component : LatencyComponent.values()) {
            if (component.externalName().equalsIgnoreCase(name)) {
                return AccountFormatter.component(component);
            }
        }
        return name;
    }
}
