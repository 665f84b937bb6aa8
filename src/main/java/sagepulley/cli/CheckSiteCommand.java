package sagepulley.cli;

import com.fasterxml.jackson.databind.json.JsonMapper;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sagepulley.config.SiteConfig;
import sagepulley.config.SiteConfigException;

/** Validates a site file without starting a gateway. */
@Command(
        name = "check-site",
        mixinStandardHelpOptions = true,
        description =
                "Validates a site file; exits with 0 if it is valid, otherwise prints all errors and "
                        + "exits with 3.")
final class CheckSiteCommand implements Callable<Integer> {
    @Parameters(paramLabel = "SITE", description = "the site file (INI)")
    private Path file;

    @Option(names = "--json", description = "prints the result as JSON")
    private boolean json;

    @Override
    public Integer call() throws Exception {
        List<String> errors = List.of();
        SiteConfig site = null;
        try {
            site = SiteConfig.read(file);
        } catch (SiteConfigException exception) {
            errors = List.of(exception.getMessage().split("\n"));
        }
        if (json) {
            System.out.println(
                    new JsonMapper()
                            .writeValueAsString(
                                    Map.of(
                                            "file",
                                            file.toString(),
                                            "usable",
                                            site != null,
                                            "mistakes",
                                            errors)));
        } else if (site != null) {
            System.out.println(
                    file
                            + ": valid: "
                            + site.volumes().size()
                            + " volumes, "
                            + site.deployment().trafficClasses().size()
                            + " bands, "
                            + site.deployment().plans().size()
                            + " plans");
        } else {
            errors.forEach(System.err::println);
        }
        return site != null ? Commands.OK : Commands.INVALID_FILE;
    }
}
