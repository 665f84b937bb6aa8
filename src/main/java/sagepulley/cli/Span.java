package sagepulley.cli;

import com.fasterxml.jackson.databind.JsonNode;

/** One line of a traces file: an operation, or an attempt or wait that belongs to one. */
record Span(JsonNode json) {
    private static final double NANOS_PER_MILLI = 1e6;

    /** Whether it is an operation, not a part of one. */
    boolean isRoot() {
        return text("parent").isEmpty();
    }

    /** Whether it is an attempt at a node, not a wait. */
    boolean isAttempt() {
        return text("name").equals("hop");
    }

    String trace() {
        return text("trace");
    }

    String volume() {
        return text("volume");
    }

    long operation() {
        return json.path("operation").asLong();
    }

    int node() {
        return json.path("node").asInt();
    }

    /** Nanoseconds of wall-clock time since the epoch. */
    long startNanos() {
        return json.path("start").asLong();
    }

    long durationNanos() {
        return json.path("end").asLong() - startNanos();
    }

    double durationMillis() {
        return durationNanos() / NANOS_PER_MILLI;
    }

    /** Milliseconds from the start of another span to the start of this one. */
    double millisAfter(Span other) {
        return (startNanos() - other.startNanos()) / NANOS_PER_MILLI;
    }

    /** A field as text; empty where the span has none. */
    String text(String field) {
        return json.path(field).asText();
    }
}
