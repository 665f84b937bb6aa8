package sagepulley.discovery.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Parses JSON into maps, lists, strings, numbers, booleans and nulls. Uses only Jackson's streaming
 * parser, which keeps the start of a gateway short.
 */
public final class JsonReader {
    private static final int MAX_DEPTH = 50;
    private static final int MAX_STRING_CHARS = 100_000;

    /** A list of 3,200 endpoints has about 30,000 values. */
    private static final int MAX_VALUES = 200_000;

    private static final JsonFactory FACTORY =
            JsonFactory.builder()
                    .streamReadConstraints(
                            StreamReadConstraints.builder()
                                    .maxNestingDepth(MAX_DEPTH)
                                    .maxStringLength(MAX_STRING_CHARS)
                                    .build())
                    .build();

    private final JsonParser parser;
    private int values;

    private JsonReader(JsonParser parser) {
        this.parser = parser;
    }

    /**
     * Parses bytes that hold exactly one JSON object.
     *
     * @throws IOException if they hold anything else, or too many values
     */
    public static Map<String, Object> readObject(byte[] bytes) throws IOException {
        try (JsonParser parser = FACTORY.createParser(bytes)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("not a JSON object");
            }
            Map<String, Object> object = new JsonReader(parser).readFields();
            if (parser.nextToken() != null) {
                throw new IOException("unexpected content after the JSON object");
            }
            return object;
        }
    }

    private Map<String, Object> readFields() throws IOException {
        Map<String, Object> object = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            object.put(name, readValue());
        }
        return object;
    }

    private Object readValue() throws IOException {
        if (++values > MAX_VALUES) {
            throw new IOException("more than " + MAX_VALUES + " JSON values");
        }
        return switch (parser.currentToken()) {
            case START_OBJECT -> readFields();
            case START_ARRAY -> {
                List<Object> items = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    items.add(readValue());
                }
                yield items;
            }
            case VALUE_STRING -> parser.getText();
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parser.getNumberValue();
            case VALUE_TRUE -> true;
            case VALUE_FALSE -> false;
            default -> null;
        };
    }
}
