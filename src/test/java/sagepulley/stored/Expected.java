package sagepulley.stored;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Output compared with a committed text in src/test/resources/external. */
public final class Expected {
    private static final Path FOLDER = Path.of("src/test/resources/external");
    private static final JsonMapper SORTED =
            JsonMapper.builder()
                    .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
                    .enable(SerializationFeature.INDENT_OUTPUT)
                    .build();

    private Expected() {}

    /** The text as it is. */
    public static void text(String name, String actual) throws IOException {
        assertEquals(Files.readString(FOLDER.resolve(name)), actual, name);
    }

    /** JSON with all keys and values, whatever the order of the keys. */
    public static void json(String name, String actual) throws IOException {
        Object tree = SORTED.readValue(actual, Object.class);
        text(name, SORTED.writeValueAsString(tree) + "\n");
    }
}
