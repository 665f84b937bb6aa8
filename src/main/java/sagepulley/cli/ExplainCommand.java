package sagepulley.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.ZoneId;
import java.time.format.DateTimeFormatter;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sagepulley.accounts.LatencyComponent;

/** Tells one operation's story from a traces file. */
@Command(
        name = "explain",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description =
                "Tells an operation's story in time order, from the traces that a gateway keeps ([traces] file); "
                        + "without a number, that of the operation that took longest.")
final class ExplainCommand implements Callable<Integer> {
    private static final int MAX_ROTATED_FILES = 100;
    private static final int MAX_LINE_CHARS = 1 << 16;
    private static final DateTimeFormatter CLOCK =
            DateTimeFormatter.ofPattern("yyyy-MM-dd HH:mm:ss.SSS");

    @Parameters(
            index = "0",
            paramLabel = "FILE",
            description = "the traces file; those moved on are read too")
    private Path file;

    @Parameters(index = "1", arity = "0..1", paramLabel = "OPERATION", description = "its number")
    private Long operation;

    @Option(names = "--volume", paramLabel = "NAME", description = "only of this volume")
    private String volume;

    @Option(
            names = "--list",
            paramLabel = "N",
            description = "lists the N that took longest, instead")
    private int list;

    @Option(names = "--json", description = "prints the spans as JSON")
    private boolean json;

    private final List<JsonNode> spans = new ArrayList<>();
    private long unreadable;

    @SuppressWarnings("ReferenceEquality") // the root span itself, not one like it
    @Override
    public Integer call() throws Exception {
        read();
        List<JsonNode> roots =
                new ArrayList<>(
                        spans.stream()
                                .filter(
                                        span ->
                                                span.path("parent").asText().isEmpty()
                                                        && (operation == null
                                                                || span.path("operation").asLong()
                                                                        == operation)
                                                        && (volume == null
                                                                || span.path("volume")
                                                                        .asText()
                                                                        .equals(volume)))
                                .toList());
        roots.sort(Comparator.comparingLong((JsonNode span) -> length(span)).reversed());
        if (unreadable > 0) {
            System.err.println(
                    "sagepulley: " + unreadable + " lines of " + file + " are no spans, left out");
        }
        if (roots.isEmpty()) {
            throw new IOException(
                    file
                            + ": has no trace of "
                            + (operation == null ? "an operation" : "operation " + operation)
                            + (volume == null ? "" : " of volume " + volume)
                            + "; only some are kept, see docs/operate/accounts.md");
        }
        if (list > 0) {
            roots.stream().limit(list).forEach(this::line);
            return Commands.OK;
        }
        List<JsonNode> children =
                new ArrayList<>(
                        spans.stream()
                                .filter(
                                        span ->
                                                span.path("trace")
                                                                .asText()
                                                                .equals(
                                                                        roots.get(0)
                                                                                .path("trace")
                                                                                .asText())
                                                        && span != roots.get(0))
                                .toList());
        // Attempts go before the steps that they brought about.
        children.sort(
                Comparator.comparingLong((JsonNode span) -> span.path("start").asLong())
                        .thenComparing(span -> span.path("name").asText()));
        if (json) {
            children.add(0, roots.get(0));
            System.out.println(new JsonMapper().writeValueAsString(children));
            return Commands.OK;
        }
        print(roots.get(0), children);
        return Commands.OK;
    }

    private static long length(JsonNode span) {
        return span.path("end").asLong() - span.path("start").asLong();
    }

    private void read() throws IOException {
        List<Path> files = new ArrayList<>();
        for (int age = MAX_ROTATED_FILES; age > 0; age--) {
            Path older = file.resolveSibling(file.getFileName() + "." + age);
            if (Files.exists(older)) {
                files.add(older);
            }
        }
        files.add(file);
        JsonMapper mapper = new JsonMapper();
        for (Path one : files) {
            try (BufferedReader lines =
                    new BufferedReader(
                            new java.io.InputStreamReader(
                                    Files.newInputStream(one),
                                    StandardCharsets.UTF_8
                                            .newDecoder()
                                            .onMalformedInput(CodingErrorAction.REPLACE)))) {
                for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                    try {
                        JsonNode span =
                                line.length() > MAX_LINE_CHARS ? null : mapper.readTree(line);
                        if (span != null && span.has("trace") && span.has("start")) {
                            spans.add(span);
                        } else {
                            unreadable++;
                        }
                    } catch (JsonProcessingException e) {
                        unreadable++;
                    }
                }
            }
        }
    }

    private void line(JsonNode root) {
        System.out.printf(
                Locale.ROOT,
                "%10d  %9.1f ms  %-9s  %-16s  %s  %s%n",
                root.path("operation").asLong(),
                length(root) / 1e6,
                root.path("result").asText(),
                root.path("volume").asText(),
                clock(root),
                root.path("main_cause").asText());
    }

    private static String clock(JsonNode span) {
        return CLOCK.format(
                Instant.ofEpochMilli(span.path("start").asLong() / 1_000_000)
                        .atZone(ZoneId.systemDefault()));
    }

    private static void print(JsonNode root, List<JsonNode> children) {
        System.out.printf(
                Locale.ROOT,
                "operation %d at gateway %s, %s%n",
                root.path("operation").asLong(),
                root.path("gateway").asText(),
                clock(root));
        System.out.printf(
                Locale.ROOT,
                "  a %s of %.2f units in extent %d of volume %s, band %s, NBD cookie %d%n",
                root.path("kind").asText(),
                root.path("units").asDouble(),
                root.path("extent").asLong(),
                root.path("volume").asText(),
                root.path("band").asText(),
                root.path("cookie").asLong());
        System.out.printf(
                Locale.ROOT,
                "  %s after %.3f ms%s; most of it by %s%n",
                root.path("result").asText(),
                length(root) / 1e6,
                root.path("reason").asText().equals("none")
                        ? ""
                        : " (" + root.path("reason").asText().replace('_', ' ') + ")",
                root.path("main_cause").asText());
        System.out.printf(
                Locale.ROOT,
                "  kept as %s, for %.0f such%n",
                root.path("kept").asText(),
                root.path("stands_for").asDouble());
        for (JsonNode child : children) {
            double after = (child.path("start").asLong() - root.path("start").asLong()) / 1e6;
            if (child.path("name").asText().equals("hop")) {
                System.out.printf(
                        Locale.ROOT,
                        "  +%10.3f ms  hop %d goes to node %d, by its %s: %s after %.3f ms%n",
                        after,
                        child.path("number").asInt() + 1,
                        child.path("node").asInt(),
                        child.path("owed").asText(),
                        child.path("result").asText().replace('_', ' '),
                        length(child) / 1e6);
            } else {
                int node = child.path("node").asInt();
                System.out.printf(
                        Locale.ROOT,
                        "  +%10.3f ms    %.3f ms %s%s%n",
                        after,
                        length(child) / 1e6,
                        part(child.path("spent").asText()),
                        node == 0 ? "" : " (node " + node + ")");
            }
        }
    }

    private static String part(String word) {
        for (LatencyComponent part : LatencyComponent.values()) {
            if (part.name().equalsIgnoreCase(word)) {
                return AccountFormatter.part(part);
            }
        }
        return word;
    }
}
