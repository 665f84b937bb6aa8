package sagepulley.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** The spans of a traces file and its rotated files, oldest file first. */
final class TraceFile {
    private static final int MAX_ROTATED_FILES = 100;
    private static final int MAX_LINE_CHARS = 1 << 16;

    private final JsonMapper json = new JsonMapper();
    private final List<Span> spans = new ArrayList<>();
    private long unreadableLines;

    private TraceFile() {}

    /** Reads all files; lines that are not spans are counted and skipped. */
    static TraceFile read(Path file) throws IOException {
        TraceFile traces = new TraceFile();
        for (int age = MAX_ROTATED_FILES; age > 0; age--) {
            Path rotated = file.resolveSibling(file.getFileName() + "." + age);
            if (Files.exists(rotated)) {
                traces.readFile(rotated);
            }
        }
        traces.readFile(file);
        return traces;
    }

    long unreadableLines() {
        return unreadableLines;
    }

    /**
     * Returns the operations, longest first.
     *
     * @param operation number of the operation to return; null for any
     * @param volume name of the volume whose operations to return; null for any
     */
    List<Span> operations(Long operation, String volume) {
        return spans.stream()
                .filter(Span::isRoot)
                .filter(span -> operation == null || span.operation() == operation)
                .filter(span -> volume == null || span.volume().equals(volume))
                .sorted(Comparator.comparingLong(Span::durationNanos).reversed())
                .toList();
    }

    /** Returns the attempts and steps of an operation by start time, attempts first on ties. */
    @SuppressWarnings("ReferenceEquality") // excludes this very span
    List<Span> children(Span root) {
        return spans.stream()
                .filter(span -> span.trace().equals(root.trace()) && span != root)
                .sorted(
                        Comparator.comparingLong(Span::startNanos)
                                .thenComparing(span -> span.text("name")))
                .toList();
    }

    private void readFile(Path file) throws IOException {
        try (BufferedReader reader =
                new BufferedReader(
                        new InputStreamReader(
                                Files.newInputStream(file),
                                StandardCharsets.UTF_8
                                        .newDecoder()
                                        .onMalformedInput(CodingErrorAction.REPLACE)))) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                addLine(line);
            }
        }
    }

    private void addLine(String line) {
        try {
            JsonNode span = line.length() > MAX_LINE_CHARS ? null : json.readTree(line);
            if (span != null && span.has("trace") && span.has("start")) {
                spans.add(new Span(span));
            } else {
                unreadableLines++;
            }
        } catch (JsonProcessingException e) {
            unreadableLines++;
        }
    }
}
