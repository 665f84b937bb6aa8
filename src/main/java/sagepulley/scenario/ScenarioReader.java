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

/** Reads scripts of scenarios; every mistake is reported with its line and column. */
public final class ScenarioReader {
    private static final double MAX_TIME_MILLIS = 3_600_000;
    private static final int MAX_NODES = 64;
    private static final int MAX_GATEWAYS = 64;
    private static final double MAX_REQUESTS_PER_SECOND = 100_000;

    private ScenarioReader() {}

    /** Reads a script from a file. */
    public static Scenario read(Path file) throws ScenarioException {
        try {
            return read(file.toString(), Files.readString(file));
        } catch (IOException e) {
            throw new ScenarioException(file + ": cannot be read: " + e);
        }
    }

    /** Reads a script; errors name it so. */
    public static Scenario read(String name, String text) throws ScenarioException {
        List<String> mistakes = new ArrayList<>();
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
                        mistakes.add(name + ":" + line + ":" + (column + 1) + ": " + message);
                    }
                };
        Lexer lexer = new ScenarioLexer(CharStreams.fromString(text, name));
        ScenarioParser parser = new ScenarioParser(new CommonTokenStream(lexer));
        lexer.removeErrorListeners();
        lexer.addErrorListener(listener);
        parser.removeErrorListeners();
        parser.addErrorListener(listener);
        ScenarioParser.DayContext tree = parser.day();
        if (mistakes.isEmpty()) {
            Builder builder = new Builder(name, mistakes);
            builder.visit(tree);
            Scenario day = builder.day();
            if (mistakes.isEmpty()) {
                return day;
            }
        }
        throw new ScenarioException(String.join("\n", mistakes));
    }

    private static final class Builder extends ScenarioBaseVisitor<Void> {
        private final String file;
        private final List<String> mistakes;
        private String name = "a day";
        private long seed = 1;
        private int gateways = 1;
        private int nodes = 6;
        private int slots = 4;
        private int queue = 64;
        private double readCost = 2;
        private double writeCost = 3;
        private int zones = 2;
        private double deferredShare;
        private double deferEvery = 1000;
        private String site = "";
        private double end = 10_000;
        private final List<Scenario.Load> loads = new ArrayList<>();
        private final List<Scenario.Event> events = new ArrayList<>();
        private final List<Scenario.Expectation> expectations = new ArrayList<>();
        private final List<Scenario.KnownCause> causes = new ArrayList<>();
        private double from;
        private double to;
        private double reads;
        private int bytes;
        private int extents;
        private int connections;
        private int through;

        Builder(String file, List<String> mistakes) {
            this.file = file;
            this.mistakes = mistakes;
        }

        Scenario day() {
            List<Scenario.Load> ending = new ArrayList<>();
            for (Scenario.Load load : loads) {
                ending.add(
                        Double.isNaN(load.toMillis())
                                ? new Scenario.Load(
                                        load.name(),
                                        load.volume(),
                                        load.requestsPerSecond(),
                                        load.readShare(),
                                        load.bytes(),
                                        load.fromMillis(),
                                        end,
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
                            readCost,
                            writeCost,
                            zones,
                            deferredShare,
                            deferEvery),
                    site.replace("${gateways}", "" + gateways),
                    ending,
                    events,
                    end,
                    expectations,
                    causes);
        }

        private double number(Token token, double min, double max, String what) {
            double value = Double.parseDouble(token.getText());
            if (value < min || value > max) {
                mistakes.add(
                        file
                                + ":"
                                + token.getLine()
                                + ":"
                                + (token.getCharPositionInLine() + 1)
                                + ": "
                                + what
                                + " is "
                                + token.getText()
                                + ", allowed is "
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
                    number(duration.NUMBER().getSymbol(), 0, MAX_TIME_MILLIS, "a time") * factor);
        }

        private void mistake(ParserRuleContext where, String what) {
            mistakes.add(
                    file
                            + ":"
                            + where.start.getLine()
                            + ":"
                            + (where.start.getCharPositionInLine() + 1)
                            + ": "
                            + what);
        }

        @Override
        public Void visitNamed(ScenarioParser.NamedContext it) {
            name = it.TEXT().getText().replace("\"", "");
            return null;
        }

        @Override
        public Void visitSeed(ScenarioParser.SeedContext it) {
            seed = (long) number(it.NUMBER().getSymbol(), 0, 1e15, "the seed");
            return null;
        }

        @Override
        public Void visitGateways(ScenarioParser.GatewaysContext it) {
            gateways =
                    (int)
                            number(
                                    it.NUMBER().getSymbol(),
                                    1,
                                    MAX_GATEWAYS,
                                    "the number of gateways");
            return null;
        }

        @Override
        public Void visitNodes(ScenarioParser.NodesContext it) {
            nodes = (int) number(it.NUMBER().getSymbol(), 1, MAX_NODES, "the number of nodes");
            return visitChildren(it);
        }

        @Override
        public Void visitSlots(ScenarioParser.SlotsContext it) {
            slots = (int) number(it.NUMBER().getSymbol(), 1, 1024, "slots");
            return null;
        }

        @Override
        public Void visitQueue(ScenarioParser.QueueContext it) {
            queue = (int) number(it.NUMBER().getSymbol(), 1, 100_000, "the queue");
            return null;
        }

        @Override
        public Void visitReadCost(ScenarioParser.ReadCostContext it) {
            readCost = millis(it.duration());
            return null;
        }

        @Override
        public Void visitWriteCost(ScenarioParser.WriteCostContext it) {
            writeCost = millis(it.duration());
            return null;
        }

        @Override
        public Void visitHalls(ScenarioParser.HallsContext it) {
            zones = (int) number(it.NUMBER().getSymbol(), 1, 16, "the number of halls");
            return null;
        }

        @Override
        public Void visitDefer(ScenarioParser.DeferContext it) {
            deferredShare = number(it.NUMBER().getSymbol(), 0, 100, "the share") / 100;
            deferEvery = Math.max(1, millis(it.duration()));
            return null;
        }

        @Override
        public Void visitSite(ScenarioParser.SiteContext it) {
            String text = it.BLOCK().getText();
            site = text.substring(2, text.length() - 2);
            return null;
        }

        @Override
        public Void visitSiteNamed(ScenarioParser.SiteNamedContext it) {
            try {
                site = ScenarioRunner.readResource(it.TEXT().getText().replace("\"", "") + ".site");
            } catch (ScenarioException e) {
                mistake(it, e.getMessage());
            }
            return null;
        }

        @Override
        public Void visitLoad(ScenarioParser.LoadContext it) {
            from = 0;
            to = Double.NaN;
            reads = 0.7;
            bytes = 16 << 10;
            extents = Integer.MAX_VALUE;
            connections = 1;
            through = 0;
            visitChildren(it);
            loads.add(
                    new Scenario.Load(
                            it.WORD(0).getText(),
                            it.WORD(1).getText(),
                            number(
                                    it.NUMBER().getSymbol(),
                                    0.01,
                                    MAX_REQUESTS_PER_SECOND,
                                    "the rate"),
                            reads,
                            bytes,
                            from,
                            to,
                            extents,
                            connections,
                            through));
            return null;
        }

        @Override
        public Void visitReads(ScenarioParser.ReadsContext it) {
            reads = number(it.NUMBER().getSymbol(), 0, 100, "the share of reads") / 100;
            return null;
        }

        @Override
        public Void visitSize(ScenarioParser.SizeContext it) {
            double factor = it.UNIT().getText().equals("KiB") ? 1 << 10 : 1 << 20;
            bytes = (int) (number(it.NUMBER().getSymbol(), 0, 32 << 10, "the size") * factor);
            if (bytes < 4096 || bytes > 32 << 20 || bytes % 4096 != 0) {
                mistake(
                        it,
                        "the size is "
                                + bytes
                                + " bytes, allowed are multiples of 4 KiB up to 32 MiB");
                bytes = 4096;
            }
            return null;
        }

        @Override
        public Void visitFrom(ScenarioParser.FromContext it) {
            from = millis(it.duration());
            return null;
        }

        @Override
        public Void visitTo(ScenarioParser.ToContext it) {
            to = millis(it.duration());
            return null;
        }

        @Override
        public Void visitExtents(ScenarioParser.ExtentsContext it) {
            extents = (int) number(it.NUMBER().getSymbol(), 1, 1e9, "the number of extents");
            return null;
        }

        @Override
        public Void visitConnections(ScenarioParser.ConnectionsContext it) {
            connections =
                    (int) number(it.NUMBER().getSymbol(), 1, 256, "the number of connections");
            return null;
        }

        @Override
        public Void visitThrough(ScenarioParser.ThroughContext it) {
            through = (int) number(it.NUMBER().getSymbol(), 1, gateways, "the gateway");
            return null;
        }

        @Override
        public Void visitCause(ScenarioParser.CauseContext it) {
            causes.add(
                    new Scenario.KnownCause(
                            it.WORD().getText(),
                            List.of(it.TEXT().getText().replace("\"", "").split("\\s+or\\s+"))));
            return null;
        }

        @Override
        public Void visitAt(ScenarioParser.AtContext it) {
            double at = millis(it.duration(0));
            double until = it.duration().size() > 1 ? at + millis(it.duration(1)) : Double.NaN;
            ScenarioParser.EventContext what = it.event();
            if (what instanceof ScenarioParser.NodeEventContext node) {
                events.add(nodeEvent(node, at, until));
            } else if (what instanceof ScenarioParser.DirectoryEventContext directory) {
                ScenarioParser.DirectoryFaultContext fault = directory.directoryFault();
                Scenario.Fault kind =
                        Scenario.Fault.valueOf(
                                "DIRECTORY_"
                                        + fault.getChild(0).getText().toUpperCase(Locale.ROOT));
                double magnitude = fault.duration() == null ? 0 : millis(fault.duration());
                events.add(new Scenario.Event(at, kind, List.of(), magnitude, "", until));
            } else if (what instanceof ScenarioParser.GatewayKilledContext killed) {
                int which = (int) number(killed.NUMBER().getSymbol(), 1, gateways, "the gateway");
                events.add(
                        new Scenario.Event(
                                at, Scenario.Fault.GATEWAY_KILLED, List.of(which), 0, "", until));
            } else if (what instanceof ScenarioParser.SurgeContext surge) {
                String load = surge.WORD().getText();
                if (loads.stream().noneMatch(known -> known.name().equals(load))) {
                    mistake(surge, "no load is called " + load);
                }
                events.add(
                        new Scenario.Event(
                                at,
                                Scenario.Fault.SURGE,
                                List.of(),
                                number(surge.NUMBER().getSymbol(), 0, 1000, "the factor"),
                                load,
                                until));
            }
            return null;
        }

        private Scenario.Event nodeEvent(
                ScenarioParser.NodeEventContext it, double at, double until) {
            String word = it.fault().getChild(0).getText();
            Scenario.Fault fault =
                    switch (word) {
                        case "restarts" -> Scenario.Fault.RESTARTS_COLD;
                        case "loses" -> Scenario.Fault.LOSES_POWER;
                        default -> Scenario.Fault.valueOf(word.toUpperCase(Locale.ROOT));
                    };
            double magnitude =
                    it.fault().NUMBER() == null
                            ? 0
                            : number(it.fault().NUMBER().getSymbol(), 0, 10_000, "how much");
            if (fault == Scenario.Fault.LOSING || fault == Scenario.Fault.ERRING) {
                magnitude = Math.min(100, magnitude) / 100;
            }
            return new Scenario.Event(at, fault, targets(it.target()), magnitude, "", until);
        }

        private List<Integer> targets(ScenarioParser.TargetContext target) {
            if (target instanceof ScenarioParser.NodeNumbersContext numbers) {
                return numbers.NUMBER().stream()
                        .map(one -> (int) number(one.getSymbol(), 1, nodes, "the node"))
                        .toList();
            }
            if (target instanceof ScenarioParser.HallContext hall) {
                int which = (int) number(hall.NUMBER().getSymbol(), 1, zones, "the hall");
                return IntStream.rangeClosed(1, nodes)
                        .filter(node -> (node - 1) % zones == which - 1)
                        .boxed()
                        .toList();
            }
            return IntStream.rangeClosed(1, nodes).boxed().toList();
        }

        @Override
        public Void visitEnd(ScenarioParser.EndContext it) {
            end = Math.max(100, millis(it.duration()));
            return null;
        }

        @Override
        public Void visitExpect(ScenarioParser.ExpectContext it) {
            expectations.add(
                    new Scenario.Expectation(
                            it.WORD().getText(),
                            number(it.NUMBER().getSymbol(), 0, 100, "the service") / 100));
            return null;
        }
    }
}
