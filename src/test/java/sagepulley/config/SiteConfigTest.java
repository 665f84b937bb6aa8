package sagepulley.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import sagepulley.scenario.LocalCluster;

/** Verifies the reading of site files and the reporting of their errors. */
class SiteConfigTest {
    private static final String VALID_SITE_FILE =
            LocalCluster.demoSite("gw-1", 1, 3, 0, new InetSocketAddress("127.0.0.1", 9));

    @Test
    void demoFileIsRead() throws SiteConfigException {
        SiteConfig site = SiteConfig.read("demo.ini", VALID_SITE_FILE);
        assertEquals(3, site.deployment().gatewayCount());
        assertEquals(64L << 20, site.volumes().get(0).sizeBytes());
        assertEquals(500, site.deployment().trafficClasses().get(0).latencyObjective());
        assertEquals(8, site.deployment().maxUnits());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "size = 64 MiB    | size = 64 parsecs | demo.ini: [volume demo] size: is '64 parsecs', expected a number",
                "number = 1       | number = 3        | demo.ini: [gateway] number: is '3', expected a number from 0 to 2",
                "zone = hall-a    | zone = hall-z     | demo.ini: [gateway] zone: is 'hall-z', expected one of hall-a",
                "plan = reserved  | plan = gold       | demo.ini: [volume demo] plan: is 'gold', expected one of plain",
                "target = 800 ms  | target = 9 s      | demo.ini: [band write] patience: is shorter than the target",
                "writes = yes     | wirtes = yes      | demo.ini: [band write] wirtes: unknown key",
                "[rules]          | [rule]            | demo.ini: [rule]: unknown section, expected one of accounts",
                "rate = 2000      | rate = nan        | demo.ini: [plan plain] rate: is 'nan'",
                "id = 1           | ; none            | demo.ini: [volume demo] id: is missing",
                "fall-multiple = 2 | budget-window = 1 s | demo.ini: [rules] budget-free: is missing",
                "id = 1           | id = 1, 2         | demo.ini: [volume demo] id",
            })
    void errorNamesFileSectionKeyAndExpectedValue(
            String text, String replacement, String expected) {
        assertTrue(VALID_SITE_FILE.contains(text), text);
        SiteConfigException error =
                assertThrows(
                        SiteConfigException.class,
                        () ->
                                SiteConfig.read(
                                        "demo.ini", VALID_SITE_FILE.replace(text, replacement)));
        assertTrue(error.getMessage().contains(expected), error.getMessage());
    }

    @Test
    void allErrorsAreReportedTogether() {
        SiteConfigException error =
                assertThrows(
                        SiteConfigException.class,
                        () ->
                                SiteConfig.read(
                                        "demo.ini",
                                        VALID_SITE_FILE
                                                .replace("size = 64 MiB", "size = x")
                                                .replace("patience = 4 s", "patience = y")));
        assertEquals(
                2,
                error.getMessage()
                        .lines()
                        .filter(line -> line.contains("expected a number"))
                        .count());
    }
}
