package sagepulley.cli;

import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sagepulley.config.HostPort;
import sagepulley.membership.EndpointRecord;
import sagepulley.membership.RecordSource;
import sagepulley.membership.StoredEndpointList;
import sagepulley.persistence.EndpointListFile;
import sagepulley.persistence.SnapshotFile;

/** Shows, checks, exports and imports a gateway's stored endpoint list. */
@Command(
        name = "list-file",
        mixinStandardHelpOptions = true,
        description =
                "Shows, verifies, exports or imports the file that stores a gateway's list of nodes "
                        + "([membership] list).",
        subcommands = {
            ListFileCommand.Show.class,
            ListFileCommand.Verify.class,
            ListFileCommand.Export.class,
            ListFileCommand.Import.class
        })
final class ListFileCommand implements Runnable {
    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "missing command");
    }

    private static StoredEndpointList newestValid(Path file) throws IOException {
        EndpointListFile.ReadResult result = new EndpointListFile(file, "").inspect();
        if (result.list() == null) {
            throw new IOException(
                    result.rejected().isEmpty()
                            ? file + ": file does not exist"
                            : result.rejected().get(0).file()
                                    + ": "
                                    + result.rejected().get(0).reason());
        }
        return result.list();
    }

    private static String formatTime(long wallMillis) {
        return wallMillis == 0
                ? "never"
                : Instant.ofEpochMilli(wallMillis)
                        .atZone(ZoneId.systemDefault())
                        .toOffsetDateTime()
                        .toString();
    }

    /** Prints the newest valid list. */
    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "Prints the newest valid list.")
    static final class Show implements Callable<Integer> {
        @Parameters(paramLabel = "FILE")
        private Path file;

        @Option(names = "--json", description = "prints it as JSON")
        private boolean json;

        @Override
        public Integer call() throws Exception {
            StoredEndpointList list = newestValid(file);
            if (json) {
                System.out.println(new JsonMapper().writeValueAsString(list));
                return Commands.OK;
            }
            System.out.printf(
                    "site %s, version %d of history %d, last confirmed %s%n",
                    list.site(), list.version(), list.history(), formatTime(list.confirmedAt()));
            for (StoredEndpointList.StoredEndpoint stored : list.endpoints()) {
                EndpointRecord entry = stored.endpoint();
                System.out.printf(
                        "node %d cell %d zone %d %s %s:%d started %s, from %s%s%n",
                        entry.node(),
                        entry.cell(),
                        entry.zone(),
                        AccountFormatter.label(entry.phase()),
                        entry.host(),
                        entry.port(),
                        formatTime(entry.startedAt()),
                        AccountFormatter.label(stored.source()),
                        stored.selfDraining() ? ", says that it drains" : "");
            }
            return Commands.OK;
        }
    }

    /** Verifies every generation of the file. */
    @Command(
            name = "verify",
            mixinStandardHelpOptions = true,
            description =
                    "Verifies every generation; exits with 0 if all are valid, otherwise prints the "
                            + "reasons and exits with 3.")
    static final class Verify implements Callable<Integer> {
        @Parameters(paramLabel = "FILE")
        private Path file;

        @Option(
                names = "--site",
                defaultValue = "",
                paramLabel = "NAME",
                description = "expected [site] name of the file (default: any)")
        private String site;

        @Override
        public Integer call() {
            EndpointListFile.ReadResult result = new EndpointListFile(file, site).inspect();
            for (SnapshotFile.Rejected rejected : result.rejected()) {
                System.out.println(rejected.file() + ": " + rejected.reason());
            }
            if (result.list() == null) {
                System.out.println(file + ": no valid list");
                return Commands.INVALID_FILE;
            }
            System.out.println(
                    result.file()
                            + ": good, "
                            + result.list().endpoints().size()
                            + " nodes, written "
                            + formatTime(result.writtenAt()));
            return result.rejected().isEmpty() ? Commands.OK : Commands.INVALID_FILE;
        }
    }

    /** Prints the list as CSV. */
    @Command(
            name = "export",
            mixinStandardHelpOptions = true,
            description = "Prints the list as CSV: node,cell,zone,kind,standing,host,port.")
    static final class Export implements Callable<Integer> {
        @Parameters(paramLabel = "FILE")
        private Path file;

        @Override
        public Integer call() throws Exception {
            System.out.println("node,cell,zone,kind,standing,host,port");
            for (StoredEndpointList.StoredEndpoint stored : newestValid(file).endpoints()) {
                EndpointRecord entry = stored.endpoint();
                System.out.println(
                        String.join(
                                ",",
                                "" + entry.node(),
                                "" + entry.cell(),
                                "" + entry.zone(),
                                "" + entry.kind(),
                                entry.phase().externalName(),
                                entry.host(),
                                "" + entry.port()));
            }
            return Commands.OK;
        }
    }

    /** Writes a CSV list as the next generation of the file. */
    @Command(
            name = "import",
            mixinStandardHelpOptions = true,
            description =
                    "Writes a list from a CSV file as the next generation. The list counts as never "
                            + "confirmed: a handshake verifies each node before it is used.")
    static final class Import implements Callable<Integer> {
        @Parameters(
                paramLabel = "FILE",
                description = "the list file to write; no running gateway may use it")
        private Path file;

        @Option(
                names = "--site",
                required = true,
                paramLabel = "NAME",
                description = "[site] name of the gateway")
        private String site;

        @Option(
                names = "--csv",
                required = true,
                paramLabel = "LIST",
                description = "CSV file in the format that 'export' prints")
        private Path csv;

        @Override
        public Integer call() throws Exception {
            List<StoredEndpointList.StoredEndpoint> endpoints = new ArrayList<>();
            Set<Integer> nodes = new HashSet<>();
            List<String> csvLines = Files.readAllLines(csv);
            for (int i = 0; i < csvLines.size(); i++) {
                if (!csvLines.get(i).isBlank() && !csvLines.get(i).startsWith("node,")) {
                    EndpointRecord entry = parseEntry(i + 1, csvLines.get(i));
                    if (!nodes.add(entry.node())) {
                        throw new IOException(
                                csv + ":" + (i + 1) + ": duplicate node " + entry.node());
                    }
                    endpoints.add(
                            new StoredEndpointList.StoredEndpoint(
                                    entry, RecordSource.IMPORT, false));
                }
            }
            new EndpointListFile(file, site)
                    .write(
                            new StoredEndpointList(site, 0, 0, 0, endpoints).checked(),
                            System.currentTimeMillis());
            System.out.println(file + ": " + endpoints.size() + " nodes");
            return Commands.OK;
        }

        private EndpointRecord parseEntry(int lineNumber, String text) throws IOException {
            String[] fields = text.split(",", -1);
            try {
                if (fields.length != 7
                        || HostPort.read(fields[5].trim() + ":" + fields[6].trim()) == null) {
                    throw new IllegalArgumentException(
                            "expected node,cell,zone,kind,standing,host,port");
                }
                return new EndpointRecord(
                        Integer.parseInt(fields[0].trim()),
                        Integer.parseInt(fields[1].trim()),
                        Integer.parseInt(fields[2].trim()),
                        Integer.parseInt(fields[3].trim()),
                        EndpointRecord.Phase.ofExternalName(fields[4].trim()),
                        0,
                        1,
                        fields[5].trim(),
                        Integer.parseInt(fields[6].trim()));
            } catch (IllegalArgumentException e) {
                throw new IOException(
                        csv + ":" + lineNumber + ": '" + text + "': " + e.getMessage(), e);
            }
        }
    }
}
