package sagepulley.config.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sagepulley.model.Deployment;
import sagepulley.model.ServicePolicy;
import sagepulley.model.TenantPlan;
import sagepulley.model.TrafficClass;

/**
 * The settings that a gateway is told first, as path=value pairs, read into a deployment. Unknown
 * keys are skipped.
 */
public final class SettingsReader {
    private static final double NS = 1e6;

    private final Map<String, String> pairs;

    public SettingsReader(Map<String, String> pairs) {
        this.pairs = pairs;
    }

    /** Reads pairs that stand one to a line. */
    public static SettingsReader ofLines(String text) {
        Map<String, String> pairs = new HashMap<>();
        for (String line : text.split("\n")) {
            int sign = line.indexOf('=');
            if (sign > 0) {
                pairs.put(line.substring(0, sign).trim(), line.substring(sign + 1).trim());
            }
        }
        return new SettingsReader(pairs);
    }

    public Deployment deployment() {
        List<TrafficClass> bands = new ArrayList<>();
        String[] writes = optional("domain.changesData", "").split(",");
        boolean ordered = false;
        for (int i = 0; i < whole("classes.count"); i++) {
            TrafficClass trafficClass = band(i, i < writes.length && writes[i].equals("true"));
            ordered |= trafficClass.ordered();
            bands.add(trafficClass);
        }
        List<TenantPlan> plans = new ArrayList<>();
        for (int i = 0; i < whole("plans.count"); i++) {
            plans.add(plan(i));
        }
        String how = optional("report.how", "silent");
        String fields = optional("report.fields", "");
        double gateways = whole("balancers");
        double me = whole("me");
        if (me < 0 || me >= gateways) {
            throw new MissingSettingException(
                    "me=" + (int) me + " does not lie below balancers=" + (int) gateways);
        }
        boolean mustAsk = optional("discovery", "automatic").equals("subscribe");
        return new Deployment(
                (int) me,
                (int) gateways,
                (int) optionalNumber("az", 0),
                bands,
                plans,
                rules(ordered),
                time("tickNs", 0),
                (int) optionalNumber("domain.shards", 0),
                optionalNumber("domain.usualUnits", 1),
                optionalNumber("domain.maxUnits", 1),
                optionalNumber("domain.shareWorth", 1),
                optionalNumber("domain.beyondShare", 0),
                time("domain.usePeriodNs", 0),
                flag("domain.saysOthers"),
                mustAsk,
                mustAsk ? number("contract.askEveryNs") / NS : Double.POSITIVE_INFINITY,
                Double.POSITIVE_INFINITY,
                flag("limits.mayProbe"),
                flag("limits.cancel"),
                flag("limits.retryAfter"),
                time("limits.maxRetryAfterNs", 0),
                optionalNumber("charges.crossZone", 0),
                optionalNumber("charges.probe", 0),
                optionalNumber("charges.waste", 0),
                !optional("weights", "silent").equals("silent"),
                how.equals("silent") || fields.isEmpty() ? List.of() : List.of(fields.split(",")));
    }

    private ServicePolicy rules(boolean ordered) {
        boolean rationed =
                pairs.containsKey("contract.extraWindowNs")
                        || pairs.containsKey("contract.extraFloor")
                        || pairs.containsKey("contract.extraRatio");
        return new ServicePolicy(
                time("contract.graceToAnswerNs", 0),
                number("contract.drainGraceNs") / NS,
                number("contract.coldFrom"),
                number("contract.coldNs") / NS,
                number("contract.fallMultiple"),
                number("contract.overloadForNs") / NS,
                number("domain.coldBears"),
                ordered ? number("contract.keyRestNs") / NS : 0,
                rationed ? number("contract.extraFloor") : Double.NaN,
                rationed ? number("contract.extraRatio") : Double.NaN,
                rationed ? number("contract.extraWindowNs") / NS : Double.NaN,
                (int) number("limits.mostTries"),
                truth("limits.mayDuplicate"));
    }

    private TrafficClass band(int index, boolean writes) {
        String path = "classes." + index + ".";
        TrafficClass.Idempotency repeat =
                switch (text(path + "effect")) {
                    case "retryable" -> TrafficClass.Idempotency.IDEMPOTENT;
                    case "dedup" -> TrafficClass.Idempotency.DEDUPLICATED;
                    case "fragile" -> TrafficClass.Idempotency.NON_IDEMPOTENT;
                    default -> throw unreadable(path + "effect");
                };
        TrafficClass.DeduplicationScope group = TrafficClass.DeduplicationScope.ALL;
        double memory = 0;
        if (repeat == TrafficClass.Idempotency.DEDUPLICATED) {
            group =
                    switch (text(path + "dedupScope")) {
                        case "all" -> TrafficClass.DeduplicationScope.ALL;
                        case "zone" -> TrafficClass.DeduplicationScope.ZONE;
                        case "cell" -> TrafficClass.DeduplicationScope.CELL;
                        default -> throw unreadable(path + "dedupScope");
                    };
            memory = number(path + "keyTtlNs") / NS;
        }
        return new TrafficClass(
                index,
                optional(path + "name", "band " + index),
                repeat,
                group,
                memory,
                flag(path + "fifoByKey"),
                writes,
                number(path + "sloNs") / NS,
                optionalNumber(path + "aimStretch", 0),
                number(path + "hardLimitNs") / NS,
                optionalNumber(path + "worth", 1),
                optionalNumber(path + "lateShare", 0));
    }

    private TenantPlan plan(int index) {
        String path = "plans." + index + ".";
        double limit = optionalNumber(path + "cap", 0);
        return new TenantPlan(
                index,
                optional(path + "name", "plan " + index),
                optionalNumber(path + "rate", 0),
                optionalNumber(path + "guaranteed", 0),
                optionalNumber(path + "weight", 1),
                optionalNumber(path + "price", 1),
                limit,
                limit > 0 ? number(path + "limitBurst") : 0,
                limit > 0 ? number(path + "slack") : 0);
    }

    public String optional(String path, String without) {
        return pairs.getOrDefault(path, without);
    }

    private String text(String path) {
        String value = pairs.get(path);
        if (value == null) {
            throw new MissingSettingException(path + " is missing");
        }
        return value;
    }

    private double number(String path) {
        try {
            double value = Double.parseDouble(text(path));
            if (Double.isFinite(value)) {
                return value;
            }
        } catch (NumberFormatException e) {
            throw unreadable(path);
        }
        throw unreadable(path);
    }

    private int whole(String path) {
        double value = number(path);
        if (value != Math.rint(value) || value < 0 || value > 1e6) {
            throw unreadable(path);
        }
        return (int) value;
    }

    public double optionalNumber(String path, double without) {
        return pairs.containsKey(path) ? number(path) : without;
    }

    /** A time in milliseconds that may be left out. */
    public double time(String path, double without) {
        return pairs.containsKey(path) ? number(path) / NS : without;
    }

    private boolean flag(String path) {
        return pairs.containsKey(path) && truth(path);
    }

    private boolean truth(String path) {
        return switch (text(path)) {
            case "true" -> true;
            case "false" -> false;
            default -> throw unreadable(path);
        };
    }

    private MissingSettingException unreadable(String path) {
        return new MissingSettingException(path + "=" + pairs.get(path) + " cannot be read");
    }
}
