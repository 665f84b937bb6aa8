package sagepulley.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import freemarker.template.Configuration;
import freemarker.template.TemplateException;
import java.io.IOException;
import java.io.StringWriter;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Tells from a gateway's accounts file who waited behind whom. */
@Command(name = "accounts", mixinStandardHelpOptions = true, sortOptions = false,
        description = "Reads the latency accounts that a gateway keeps (gateway --accounts) and reports, by volume, "
                + "where time went and who or what caused the waits.")
final class AccountsCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "the accounts file")
    private Path file;

    @Option(names = "--volume", paramLabel = "NAME", description = "only this volume")
    private String only;

    @Option(names = "--json", description = "prints the file's figures as JSON")
    private boolean json;

    @Option(names = "--html", paramLabel = "OUT", description = "writes the report as a page")
    private Path html;

    @Override
    public Integer call() throws Exception {
        JsonNode all = new JsonMapper().readTree(Files.readAllBytes(file));
        if (!all.isObject()) {
            throw new IOException(file + ": is no accounts file");
        }
        Map<Long, String> names = new HashMap<>();
        all.properties().forEach(entry -> names.put(entry.getValue().path("volume").asLong(), entry.getKey()));
        List<Map<String, Object>> volumes = new ArrayList<>();
        all.properties().forEach(entry -> {
            if (only == null || only.equals(entry.getKey())) {
                volumes.add(volume(entry.getKey(), entry.getValue(), names));
            }
        });
        if (volumes.isEmpty()) {
            throw new IOException(file + ": has no volume" + (only == null ? "" : " called " + only));
        }
        if (json) {
            System.out.println(new JsonMapper().writeValueAsString(volumes));
            return Commands.OK;
        }
        System.out.print(page("accounts.txt.ftl", volumes));
        if (html != null) {
            Files.writeString(html, page("accounts.ftlh", volumes));
        }
        return Commands.OK;
    }

    private static Map<String, Object> volume(String name, JsonNode report, Map<Long, String> names) {
        Map<String, Object> volume = new HashMap<>();
        volume.put("name", name);
        for (String count : new String[] {"operations", "met", "late", "declined", "scrapped", "left"}) {
            volume.put(count, report.path(count).asLong());
        }
        volume.put("utilityLost", report.path("utilityLost").asDouble());
        List<Map<String, Object>> parts = new ArrayList<>();
        double sum = 0;
        for (JsonNode part : report.path("parts")) {
            sum += part.asDouble();
        }
        double whole = Math.max(1e-9, sum);
        report.path("parts").properties().forEach(part -> parts.add(Map.of("name", word(part.getKey()),
                "seconds", part.getValue().asDouble() / 1000, "share", part.getValue().asDouble() / whole)));
        volume.put("parts", parts);
        List<Map<String, Object>> causes = new ArrayList<>();
        for (JsonNode charged : report.path("causes")) {
            causes.add(Map.of("text", cause(charged.path("cause"), names), "seconds",
                    charged.path("waited").asDouble() / 1000, "share", charged.path("share").asDouble()));
        }
        volume.put("causes", causes);
        return volume;
    }

    private static String cause(JsonNode cause, Map<Long, String> names) {
        long number = cause.path("number").asLong();
        String text = switch (cause.path("kind").asText()) {
            case "OWN_LOAD" -> "its own load";
            case "NEIGHBOUR" -> number == 0 ? "other volumes" : "volume " + names.getOrDefault(number, "" + number);
            case "SLOW_NODE" -> "node " + number + " is slower than the rest";
            case "FAULT" -> "fault of node " + number;
            case "CAUTION" -> number == 0 ? "the gateway's caution" : "the gateway's caution at node " + number;
            case "DIRECTORY" -> "the directory";
            case "NETWORK" -> "the way to node " + number;
            default -> "its own work";
        };
        return cause.path("estimate").asBoolean() ? text + " (estimate)" : text;
    }

    private static String word(String name) {
        return name.toLowerCase(Locale.ROOT).replace('_', ' ');
    }

    private static String page(String template, List<Map<String, Object>> volumes)
            throws IOException, TemplateException {
        Configuration templates = new Configuration(Configuration.VERSION_2_3_34);
        templates.setClassLoaderForTemplateLoading(AccountsCommand.class.getClassLoader(), "templates");
        templates.setDefaultEncoding("UTF-8");
        templates.setLocale(Locale.ROOT);
        Writer page = new StringWriter();
        templates.getTemplate(template).process(Map.of("volumes", volumes), page);
        return page.toString();
    }
}
