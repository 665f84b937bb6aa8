package sagepulley.cli;

import com.fasterxml.jackson.databind.JsonNode;

/** A line of a traces file: an operation, or one of its attempts or steps. */
record Span(JsonNode json) {
    private static final double NANOS_PER_MILLI = 1e6;

    /** Returns whether the span is an operation rather than an attempt or step. */
    boolean isRoot() {
        return text("parent").isEmpty();
    }

    /** Returns whether the span is an attempt at a node rather than a step. */
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

    /** Returns the start in nanoseconds since the epoch. */
    long startNanos() {
        return json.path("start").asLong();
    }

    long durationNanos() {
        return json.path("end").asLong() - startNanos();
    }

    double durationMillis() {
        return durationNanos() / NANOS_PER_MILLI;
    }

    /** Returns the milliseconds from the start of another span to the start of this one. */
    double millisAfter(Span other) {
        return (startNanos() - other.startNanos()) / NANOS_PER_MILLI;
    }

    /** Returns a field as text, or an empty string if the span lacks it. */
    String text(String field) {
        return json.path(field).asText();
    }
}
