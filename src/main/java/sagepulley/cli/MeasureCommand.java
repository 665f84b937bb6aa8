package sagepulley.cli;

import com.fasterxml.jackson.databind.json.JsonMapper;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sagepulley.scenario.ThroughputComparison;

/** Compares throughput and latency through a gateway with direct access to the nodes. */
@Command(
        name = "measure",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description =
                "Compares requests through a gateway with requests sent directly to the nodes, in "
                        + "alternating rounds on loopback, and prints both with their ratios.")
final class MeasureCommand implements Callable<Integer> {
    @Option(
            names = "--seconds",
            defaultValue = "3",
            description = "duration for each path and row (default: ${DEFAULT-VALUE})")
    private double seconds;

    @Option(
            names = "--sizes",
            split = ",",
            defaultValue = "4096,131072",
            paramLabel = "BYTES",
            description = "request sizes (default: ${DEFAULT-VALUE})")
    private int[] sizes;

    @Option(
            names = "--depths",
            split = ",",
            defaultValue = "1,32,256",
            paramLabel = "N",
            description = "numbers of requests in flight (default: ${DEFAULT-VALUE})")
    private int[] depths;

    @Option(names = "--json", description = "prints the rows as JSON")
    private boolean json;

    @Option(
            names = "--accounts",
            paramLabel = "FOLDER",
            description =
                    "compares a gateway that keeps accounts and traces, in this folder, with one that "
                            + "keeps neither")
    private Path accountsFolder;

    @Option(
            names = "--kept",
            defaultValue = "BOTH",
            paramLabel = "NEITHER|ACCOUNTS|BOTH",
            description = "with --accounts: the records to keep (default: ${DEFAULT-VALUE})")
    private ThroughputComparison.RecordKeeping recordKeeping;

    @Override
    public Integer call() throws Exception {
        List<ThroughputComparison.Row> rows =
                accountsFolder == null
                        ? new ThroughputComparison(seconds, 4).run(6, sizes, depths)
                        : new ThroughputComparison(seconds, 8)
                                .compareRecordKeeping(
                                        6, sizes, depths, recordKeeping, accountsFolder);
        if (json) {
            System.out.println(new JsonMapper().writeValueAsString(rows));
            return Commands.OK;
        }
        if (accountsFolder != null) {
            printRecordKeepingComparison(rows);
            return Commands.OK;
        }
        printDirectComparison(rows);
        return Commands.OK;
    }

    private static void printDirectComparison(List<ThroughputComparison.Row> rows) {
        System.out.println(
                "| request | depth | direct/s | through/s | ratio | p50 direct | p50 through | ratio "
                        + "| p99 ratio | failed | heap bytes/op | gateway CPU us/op |");
        System.out.println(
                "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for (ThroughputComparison.Row row : rows) {
            System.out.printf(
                    "| %s %d KiB | %d | %.0f | %.0f | %.2f | %.0f us | %.0f us | %.2f | %.2f | %d | %.0f "
                            + "| %.1f |%n",
                    row.kind(),
                    row.bytes() >> 10,
                    row.depth(),
                    row.direct().perSecond(),
                    row.through().perSecond(),
                    row.through().perSecond() / row.direct().perSecond(),
                    row.direct().p50(),
                    row.through().p50(),
                    row.through().p50() / row.direct().p50(),
                    row.through().p99() / row.direct().p99(),
                    row.through().failed(),
                    row.heapBytes(),
                    row.loopBusyMicros());
        }
    }

    private static void printRecordKeepingComparison(List<ThroughputComparison.Row> rows) {
        System.out.println(
                "| request | depth | without/s | with/s | ratio | p99 without | p99 with | ratio "
                        + "| heap bytes/op without | with | CPU us/op without | with |");
        System.out.println(
                "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for (ThroughputComparison.Row row : rows) {
            System.out.printf(
                    "| %s %d KiB | %d | %.0f | %.0f | %.3f | %.0f us | %.0f us | %.2f | %.0f | %.0f | %.1f "
                            + "| %.1f |%n",
                    row.kind(),
                    row.bytes() >> 10,
                    row.depth(),
                    row.direct().perSecond(),
                    row.through().perSecond(),
                    row.through().perSecond() / row.direct().perSecond(),
                    row.direct().p99(),
                    row.through().p99(),
                    row.through().p99() / row.direct().p99(),
                    row.directHeapBytes(),
                    row.heapBytes(),
                    row.directBusyMicros(),
                    row.loopBusyMicros());
        }
    }
}
