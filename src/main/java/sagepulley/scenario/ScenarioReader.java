package sagepulley.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.Lexer;
import org.antlr.v4.runtime.ParserRuleContext;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;
import sagepulley.scenario.grammar.ScenarioBaseVisitor;
import sagepulley.scenario.grammar.ScenarioLexer;
import sagepulley.scenario.grammar.ScenarioParser;

/** Parses scenario scripts. Every error is reported with its line and column. */
public final class ScenarioReader {
    private static final double MAX_TIME_MILLIS = 3_600_000;
    private static final int MAX_NODES = 64;
    private static final int MAX_GATEWAYS = 64;
    private static final double MAX_REQUESTS_PER_SECOND = 100_000;

    private ScenarioReader() {}

    /** Parses the script in a file. */
    public static Scenario read(Path file) throws ScenarioException {
        try {
            return read(file.toString(), Files.readString(file));
        } catch (IOException e) {
            throw new ScenarioException(file + ": failed to read the script: " + e);
        }
    }

    /**
     * Parses a script.
     *
     * @param name the name of the script in error messages
     */
    public static Scenario read(String name, String text) throws ScenarioException {
        List<String> errors = new ArrayList<>();
        BaseErrorListener listener =
                new BaseErrorListener() {
                    @Override
                    public void syntaxError(
                            Recognizer<?, ?> recognizer,
                            Object symbol,
                            int line,
                            int column,
                            String message,
                            RecognitionException cause) {
                        errors.add(name + ":" + line + ":" + (column + 1) + ": " + message);
                    }
                };
        Lexer lexer = new ScenarioLexer(CharStreams.fromString(text, name));
        ScenarioParser parser = new ScenarioParser(new CommonTokenStream(lexer));
        lexer.removeErrorListeners();
        lexer.addErrorListener(listener);
        parser.removeErrorListeners();
        parser.addErrorListener(listener);
        ScenarioParser.DayContext tree = parser.day();
        if (errors.isEmpty()) {
            Builder builder = new Builder(name, errors);
            builder.visit(tree);
            Scenario scenario = builder.build();
            if (errors.isEmpty()) {
                return scenario;
            }
        }
        throw new ScenarioException(String.join("\n", errors));
    }

    private static final class Builder extends ScenarioBaseVisitor<Void> {
        private final String file;
        private final List<String> errors;
        private String name = "a day";
        private long seed = 1;
        private int gateways = 1;
        private int nodes = 6;
        private int slots = 4;
        private int queue = 64;
        private double readCostMillis = 2;
        private double writeCostMillis = 3;
        private int zones = 2;
        private double deferredShare;
        private double deferIntervalMillis = 1000;
        private String site = "";
        private double endMillis = 10_000;
        private final List<Scenario.Load> loads = new ArrayList<>();
        private final List<Scenario.Event> events = new ArrayList<>();
        private final List<Scenario.Expectation> expectations = new ArrayList<>();
        private final List<Scenario.KnownCause> causes = new ArrayList<>();
        private double fromMillis;
        private double toMillis;
        private double readShare;
        private int bytes;
        private int extents;
        private int connections;
        private int gateway;

        Builder(String file, List<String> errors) {
            this.file = file;
            this.errors = errors;
        }

        Scenario build() {
            List<Scenario.Load> boundedLoads = new ArrayList<>();
            for (Scenario.Load load : loads) {
                boundedLoads.add(
                        Double.isNaN(load.toMillis())
                                ? new Scenario.Load(
                                        load.name(),
                                        load.volume(),
                                        load.requestsPerSecond(),
                                        load.readShare(),
                                        load.bytes(),
                                        load.fromMillis(),
                                        endMillis,
                                        load.extents(),
                                        load.connections(),
                                        load.gateway())
                                : load);
            }
            return new Scenario(
                    name,
                    seed,
                    gateways,
                    new Scenario.Nodes(
                            nodes,
                            slots,
                            queue,
                            readCostMillis,
                            writeCostMillis,
                            zones,
                            deferredShare,
                            deferIntervalMillis),
                    site.replace("${gateways}", "" + gateways),
                    boundedLoads,
                    events,
                    endMillis,
                    expectations,
                    causes);
        }

        private double number(Token token, double min, double max, String quantity) {
            double value = Double.parseDouble(token.getText());
            if (value < min || value > max) {
                errors.add(
                        file
                                + ":"
                                + token.getLine()
                                + ":"
                                + (token.getCharPositionInLine() + 1)
                                + ": "
                                + quantity
                                + " is "
                                + token.getText()
                                + ", expected "
                                + min
                                + " to "
                                + max);
                return min;
            }
            return value;
        }

        private double millis(ScenarioParser.DurationContext duration) {
            String unit = duration.getChild(1).getText();
            double factor = unit.equals("ms") ? 1 : unit.equals("s") ? 1000 : 60_000;
            return Math.min(
                    MAX_TIME_MILLIS,
                    number(duration.NUMBER().getSymbol(), 0, MAX_TIME_MILLIS, "the duration")
                            * factor);
        }

        private void addError(ParserRuleContext context, String message) {
            errors.add(
                    file
                            + ":"
                            + context.start.getLine()
                            + ":"
                            + (context.start.getCharPositionInLine() + 1)
                            + ": "
                            + message);
        }

        @Override
        public Void visitNamed(ScenarioParser.NamedContext context) {
            name = context.TEXT().getText().replace("\"", "");
            return null;
        }

        @Override
        public Void visitSeed(ScenarioParser.SeedContext context) {
            seed = (long) number(context.NUMBER().getSymbol(), 0, 1e15, "the seed");
            return null;
        }

        @Override
        public Void visitGateways(ScenarioParser.GatewaysContext context) {
            gateways =
                    (int)
                            number(
                                    context.NUMBER().getSymbol(),
                                    1,
                                    MAX_GATEWAYS,
                                    "the number of gateways");
            return null;
        }

        @Override
        public Void visitNodes(ScenarioParser.NodesContext context) {
            nodes = (int) number(context.NUMBER().getSymbol(), 1, MAX_NODES, "the number of nodes");
            return visitChildren(context);
        }

        @Override
        public Void visitSlots(ScenarioParser.SlotsContext context) {
            slots = (int) number(context.NUMBER().getSymbol(), 1, 1024, "the number of slots");
            return null;
        }

        @Override
        public Void visitQueue(ScenarioParser.QueueContext context) {
            queue = (int) number(context.NUMBER().getSymbol(), 1, 100_000, "the queue limit");
            return null;
        }

        @Override
        public Void visitReadCost(ScenarioParser.ReadCostContext context) {
            readCostMillis = millis(context.duration());
            return null;
        }

        @Override
        public Void visitWriteCost(ScenarioParser.WriteCostContext context) {
            writeCostMillis = millis(context.duration());
            return null;
        }

        @Override
        public Void visitHalls(ScenarioParser.HallsContext context) {
            zones = (int) number(context.NUMBER().getSymbol(), 1, 16, "the number of halls");
            return null;
        }

        @Override
        public Void visitDefer(ScenarioParser.DeferContext context) {
            deferredShare =
                    number(context.NUMBER().getSymbol(), 0, 100, "the deferred share") / 100;
            deferIntervalMillis = Math.max(1, millis(context.duration()));
            return null;
        }

        @Override
        public Void visitSite(ScenarioParser.SiteContext context) {
            String text = context.BLOCK().getText();
            site = text.substring(2, text.length() - 2);
            return null;
        }

        @Override
        public Void visitSiteNamed(ScenarioParser.SiteNamedContext context) {
            try {
                site =
                        ScenarioRunner.readResource(
                                context.TEXT().getText().replace("\"", "") + ".site");
            } catch (ScenarioException e) {
                addError(context, e.getMessage());
            }
            return null;
        }

        @Override
        public Void visitLoad(ScenarioParser.LoadContext context) {
            fromMillis = 0;
            toMillis = Double.NaN;
            readShare = 0.7;
            bytes = 16 << 10;
            extents = Integer.MAX_VALUE;
            connections = 1;
            gateway = 0;
            visitChildren(context);
            loads.add(
                    new Scenario.Load(
                            context.WORD(0).getText(),
                            context.WORD(1).getText(),
                            number(
                                    context.NUMBER().getSymbol(),
                                    0.01,
                                    MAX_REQUESTS_PER_SECOND,
                                    "the rate"),
                            readShare,
                            bytes,
                            fromMillis,
                            toMillis,
                            extents,
                            connections,
                            gateway));
            return null;
        }

        @Override
        public Void visitReads(ScenarioParser.ReadsContext context) {
            readShare = number(context.NUMBER().getSymbol(), 0, 100, "the share of reads") / 100;
            return null;
        }

        @Override
        public Void visitSize(ScenarioParser.SizeContext context) {
            double factor = context.UNIT().getText().equals("KiB") ? 1 << 10 : 1 << 20;
            bytes = (int) (number(context.NUMBER().getSymbol(), 0, 32 << 10, "the size") * factor);
            if (bytes < 4096 || bytes > 32 << 20 || bytes % 4096 != 0) {
                addError(
                        context,
                        "the size is "
                                + bytes
                                + " bytes, expected a multiple of 4 KiB up to 32 MiB");
                bytes = 4096;
            }
            return null;
        }

        @Override
        public Void visitFrom(ScenarioParser.FromContext context) {
            fromMillis = millis(context.duration());
            return null;
        }

        @Override
        public Void visitTo(ScenarioParser.ToContext context) {
            toMillis = millis(context.duration());
            return null;
        }

        @Override
        public Void visitExtents(ScenarioParser.ExtentsContext context) {
            extents = (int) number(context.NUMBER().getSymbol(), 1, 1e9, "the number of extents");
            return null;
        }

        @Override
        public Void visitConnections(ScenarioParser.ConnectionsContext context) {
            connections =
                    (int) number(context.NUMBER().getSymbol(), 1, 256, "the number of connections");
            return null;
        }

        @Override
        public Void visitThrough(ScenarioParser.ThroughContext context) {
            gateway = (int) number(context.NUMBER().getSymbol(), 1, gateways, "the gateway");
            return null;
        }

        @Override
        public Void visitCause(ScenarioParser.CauseContext context) {
            causes.add(
                    new Scenario.KnownCause(
                            context.WORD().getText(),
                            List.of(
                                    context.TEXT()
                                            .getText()
                                            .replace("\"", "")
                                            .split("\\s+or\\s+"))));
            return null;
        }

        @Override
        public Void visitAt(ScenarioParser.AtContext context) {
            double atMillis = millis(context.duration(0));
            double untilMillis =
                    context.duration().size() > 1
                            ? atMillis + millis(context.duration(1))
                            : Double.NaN;
            ScenarioParser.EventContext event = context.event();
            if (event instanceof ScenarioParser.NodeEventContext node) {
                events.add(nodeEvent(node, atMillis, untilMillis));
            } else if (event instanceof ScenarioParser.DirectoryEventContext directory) {
                ScenarioParser.DirectoryFaultContext fault = directory.directoryFault();
                Scenario.Fault kind =
                        Scenario.Fault.valueOf(
                                "DIRECTORY_"
                                        + fault.getChild(0).getText().toUpperCase(Locale.ROOT));
                double magnitude = fault.duration() == null ? 0 : millis(fault.duration());
                events.add(
                        new Scenario.Event(atMillis, kind, List.of(), magnitude, "", untilMillis));
            } else if (event instanceof ScenarioParser.GatewayKilledContext killed) {
                int index = (int) number(killed.NUMBER().getSymbol(), 1, gateways, "the gateway");
                events.add(
                        new Scenario.Event(
                                atMillis,
                                Scenario.Fault.GATEWAY_KILLED,
                                List.of(index),
                                0,
                                "",
                                untilMillis));
            } else if (event instanceof ScenarioParser.SurgeContext surge) {
                String loadName = surge.WORD().getText();
                if (loads.stream().noneMatch(load -> load.name().equals(loadName))) {
                    addError(surge, "no load is named " + loadName);
                }
                events.add(
                        new Scenario.Event(
                                atMillis,
                                Scenario.Fault.SURGE,
                                List.of(),
                                number(surge.NUMBER().getSymbol(), 0, 1000, "the rate factor"),
                                loadName,
                                untilMillis));
            }
            return null;
        }

        private Scenario.Event nodeEvent(
                ScenarioParser.NodeEventContext context, double atMillis, double untilMillis) {
            String word = context.fault().getChild(0).getText();
            Scenario.Fault fault =
                    switch (word) {
                        case "restarts" -> Scenario.Fault.RESTARTS_COLD;
                        case "loses" -> Scenario.Fault.LOSES_POWER;
                        default -> Scenario.Fault.valueOf(word.toUpperCase(Locale.ROOT));
                    };
            double magnitude =
                    context.fault().NUMBER() == null
                            ? 0
                            : number(
                                    context.fault().NUMBER().getSymbol(),
                                    0,
                                    10_000,
                                    "the magnitude of the fault");
            if (fault == Scenario.Fault.LOSING || fault == Scenario.Fault.ERRING) {
                magnitude = Math.min(100, magnitude) / 100;
            }
            return new Scenario.Event(
                    atMillis, fault, targets(context.target()), magnitude, "", untilMillis);
        }

        private List<Integer> targets(ScenarioParser.TargetContext target) {
            if (target instanceof ScenarioParser.NodeNumbersContext numbers) {
                return numbers.NUMBER().stream()
                        .map(token -> (int) number(token.getSymbol(), 1, nodes, "the node"))
                        .toList();
            }
            if (target instanceof ScenarioParser.HallContext zone) {
                int index = (int) number(zone.NUMBER().getSymbol(), 1, zones, "the hall");
                return IntStream.rangeClosed(1, nodes)
                        .filter(node -> (node - 1) % zones == index - 1)
                        .boxed()
                        .toList();
            }
            return IntStream.rangeClosed(1, nodes).boxed().toList();
        }

        @Override
        public Void visitEnd(ScenarioParser.EndContext context) {
            endMillis = Math.max(100, millis(context.duration()));
            return null;
        }

        @Override
        public Void visitExpect(ScenarioParser.ExpectContext context) {
            expectations.add(
                    new Scenario.Expectation(
                            context.WORD().getText(),
                            number(context.NUMBER().getSymbol(), 0, 100, "the expected service")
                                    / 100));
            return null;
        }
    }
}
