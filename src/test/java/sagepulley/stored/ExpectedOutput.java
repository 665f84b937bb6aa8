package sagepulley.stored;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Compares output with the expected texts in src/test/resources/external. */
public final class ExpectedOutput {
    private static final Path DIRECTORY = Path.of("src/test/resources/external");
    private static final JsonMapper SORTED =
            JsonMapper.builder()
                    .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
                    .enable(SerializationFeature.INDENT_OUTPUT)
                    .build();

    private ExpectedOutput() {}

    /** Asserts that a text equals the expected file. */
    public static void assertText(String name, String actual) throws IOException {
        assertEquals(Files.readString(DIRECTORY.resolve(name)), actual, name);
    }

    /** Asserts that JSON equals the expected file, regardless of the order of the keys. */
    public static void assertJson(String name, String actual) throws IOException {
        Object tree = SORTED.readValue(actual, Object.class);
        assertText(name, SORTED.writeValueAsString(tree) + "\n");
    }
}
