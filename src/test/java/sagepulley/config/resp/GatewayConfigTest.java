package sagepulley.config.resp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import sagepulley.lifecycle.WarmUpConfig;

/** Tests reading of the configuration file and the messages of its errors. */
class GatewayConfigTest {
    @TempDir private Path folder;

    @Test
    void nestedSettingsAreFlattenedToPaths() throws Exception {
        GatewayConfig config = GatewayConfig.read(write(WarmUpConfig.text()));
        assertEquals("put", config.deployment().trafficClasses().get(1).name());
        assertTrue(config.deployment().trafficClasses().get(1).writes());
        assertFalse(config.deployment().trafficClasses().get(0).writes());
        assertEquals(5000, config.deployment().trafficClasses().get(0).latencyObjective());
        assertEquals(4, config.deployment().maxUnits());
        assertEquals(1, config.initialEndpoints().members().size());
        assertEquals(250, config.connectTimeoutMillis());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"seed\": \"1\" | \"seed\": \"zz\" | seed=zz",
                "\"listen\": \"127.0.0.1:1\" | \"listen\": \"host.name:1\" | listen=host.name:1",
                "\"sockets\": 256 | \"sockets\": 3 | limits.sockets=3",
                "\"sloNs\": 5000000000 | \"sloNs\": \"soon\" | classes.0.sloNs=soon",
                "\"mostTries\": 2, | '' | limits.mostTries is missing",
                "{\"name\" | [{\"name\" | not a JSON object",
                "\"discovery\": \"127.0.0.1:1\", | '' | discovery is missing"
            })
    void invalidFileIsReportedInOneLine(String validPart, String replacement, String expected)
            throws Exception {
        String text = WarmUpConfig.text();
        assertTrue(text.contains(validPart));
        ConfigException error =
                assertThrows(
                        ConfigException.class,
                        () -> GatewayConfig.read(write(text.replace(validPart, replacement))));
        assertTrue(error.getMessage().contains(expected), error.getMessage());
        assertTrue(error.getMessage().contains("config.json"), error.getMessage());
        assertEquals(1, error.getMessage().lines().count());
    }

    @Test
    void missingFileOrVariableIsReported() {
        assertEquals(
                "GW_CONFIG is not set",
                assertThrows(ConfigException.class, () -> GatewayConfig.read(Map.of()))
                        .getMessage());
        ConfigException error =
                assertThrows(
                        ConfigException.class,
                        () ->
                                GatewayConfig.read(
                                        Map.of(
                                                "GW_CONFIG",
                                                folder.resolve("none.json").toString())));
        assertTrue(error.getMessage().endsWith("there is no such file"), error.getMessage());
    }

    private Map<String, String> write(String text) throws IOException {
        Path file = folder.resolve("config.json");
        Files.writeString(file, text);
        return Map.of("GW_CONFIG", file.toString());
    }
}
