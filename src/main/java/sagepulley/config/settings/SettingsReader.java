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
 * Reads the startup settings of a gateway, given as path=value pairs, into a deployment. Unknown
 * paths are ignored. Times are nanoseconds in the pairs and are converted to milliseconds.
 */
public final class SettingsReader {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final int MAX_COUNT = 1_000_000;
    private static final String SILENT = "silent";

    private final Map<String, String> pairs;

    /** Creates a reader of the given values by path. */
    public SettingsReader(Map<String, String> pairs) {
        this.pairs = pairs;
    }

    /** Creates a reader of text with one path=value pair per line. */
    public static SettingsReader ofLines(String text) {
        Map<String, String> pairs = new HashMap<>();
        for (String line : text.split("\n")) {
            int separator = line.indexOf('=');
            if (separator > 0) {
                pairs.put(
                        line.substring(0, separator).trim(), line.substring(separator + 1).trim());
            }
        }
        return new SettingsReader(pairs);
    }

    /**
     * Returns the deployment that the settings describe.
     *
     * @throws InvalidSettingException if a required setting is missing or a setting is invalid
     */
    public Deployment deployment() {
        List<TrafficClass> trafficClasses = trafficClasses();
        boolean ordered = trafficClasses.stream().anyMatch(TrafficClass::ordered);
        List<TenantPlan> plans = plans();
        double gateways = count("balancers");
        double index = count("me");
        if (index < 0 || index >= gateways) {
            throw new InvalidSettingException(
                    "me=" + (int) index + ", expected a value below balancers=" + (int) gateways);
        }
        boolean mustPoll = optionalText("discovery", "automatic").equals("subscribe");
        return new Deployment(
                (int) index,
                (int) gateways,
                (int) optionalNumber("az", 0),
                trafficClasses,
                plans,
                servicePolicy(ordered),
                optionalMillis("tickNs", 0),
                (int) optionalNumber("domain.shards", 0),
                optionalNumber("domain.usualUnits", 1),
                optionalNumber("domain.maxUnits", 1),
                optionalNumber("domain.shareWorth", 1),
                optionalNumber("domain.beyondShare", 0),
                optionalMillis("domain.usePeriodNs", 0),
                flag("domain.saysOthers"),
                mustPoll,
                mustPoll ? millis("contract.askEveryNs") : Double.POSITIVE_INFINITY,
                Double.POSITIVE_INFINITY,
                flag("limits.mayProbe"),
                flag("limits.cancel"),
                flag("limits.retryAfter"),
                optionalMillis("limits.maxRetryAfterNs", 0),
                optionalNumber("charges.crossZone", 0),
                optionalNumber("charges.probe", 0),
                optionalNumber("charges.waste", 0),
                !optionalText("weights", SILENT).equals(SILENT),
                reportFields());
    }

    private List<TrafficClass> trafficClasses() {
        List<TrafficClass> trafficClasses = new ArrayList<>();
        String[] writes = optionalText("domain.changesData", "").split(",");
        for (int i = 0; i < count("classes.count"); i++) {
            trafficClasses.add(trafficClass(i, i < writes.length && writes[i].equals("true")));
        }
        return trafficClasses;
    }

    private List<TenantPlan> plans() {
        List<TenantPlan> plans = new ArrayList<>();
        for (int i = 0; i < count("plans.count"); i++) {
            plans.add(plan(i));
        }
        return plans;
    }

    private List<String> reportFields() {
        String fields = optionalText("report.fields", "");
        boolean reports = !optionalText("report.how", SILENT).equals(SILENT) && !fields.isEmpty();
        return reports ? List.of(fields.split(",")) : List.of();
    }

    private ServicePolicy servicePolicy(boolean ordered) {
        boolean hasRetryBudget =
                pairs.containsKey("contract.extraWindowNs")
                        || pairs.containsKey("contract.extraFloor")
                        || pairs.containsKey("contract.extraRatio");
        return new ServicePolicy(
                optionalMillis("contract.graceToAnswerNs", 0),
                millis("contract.drainGraceNs"),
                number("contract.coldFrom"),
                millis("contract.coldNs"),
                number("contract.fallMultiple"),
                millis("contract.overloadForNs"),
                number("domain.coldBears"),
                ordered ? millis("contract.keyRestNs") : 0,
                hasRetryBudget ? number("contract.extraFloor") : Double.NaN,
                hasRetryBudget ? number("contract.extraRatio") : Double.NaN,
                hasRetryBudget ? millis("contract.extraWindowNs") : Double.NaN,
                (int) number("limits.mostTries"),
                booleanValue("limits.mayDuplicate"));
    }

    private TrafficClass trafficClass(int index, boolean writes) {
        String path = "classes." + index + ".";
        TrafficClass.Idempotency idempotency = idempotency(path + "effect");
        boolean deduplicated = idempotency == TrafficClass.Idempotency.DEDUPLICATED;
        return new TrafficClass(
                index,
                optionalText(path + "name", "band " + index),
                idempotency,
                deduplicated
                        ? deduplicationScope(path + "dedupScope")
                        : TrafficClass.DeduplicationScope.ALL,
                deduplicated ? millis(path + "keyTtlNs") : 0,
                flag(path + "fifoByKey"),
                writes,
                millis(path + "sloNs"),
                optionalNumber(path + "aimStretch", 0),
                millis(path + "hardLimitNs"),
                optionalNumber(path + "worth", 1),
                optionalNumber(path + "lateShare", 0));
    }

    private TrafficClass.Idempotency idempotency(String path) {
        return switch (text(path)) {
            case "retryable" -> TrafficClass.Idempotency.IDEMPOTENT;
            case "dedup" -> TrafficClass.Idempotency.DEDUPLICATED;
            case "fragile" -> TrafficClass.Idempotency.NON_IDEMPOTENT;
            default -> throw invalid(path);
        };
    }

    private TrafficClass.DeduplicationScope deduplicationScope(String path) {
        return switch (text(path)) {
            case "all" -> TrafficClass.DeduplicationScope.ALL;
            case "zone" -> TrafficClass.DeduplicationScope.ZONE;
            case "cell" -> TrafficClass.DeduplicationScope.CELL;
            default -> throw invalid(path);
        };
    }

    private TenantPlan plan(int index) {
        String path = "plans." + index + ".";
        double limit = optionalNumber(path + "cap", 0);
        return new TenantPlan(
                index,
                optionalText(path + "name", "plan " + index),
                optionalNumber(path + "rate", 0),
                optionalNumber(path + "guaranteed", 0),
                optionalNumber(path + "weight", 1),
                optionalNumber(path + "price", 1),
                limit,
                limit > 0 ? number(path + "limitBurst") : 0,
                limit > 0 ? number(path + "slack") : 0);
    }

    /** Returns an optional text. */
    public String optionalText(String path, String defaultValue) {
        return pairs.getOrDefault(path, defaultValue);
    }

    private String text(String path) {
        String value = pairs.get(path);
        if (value == null) {
            throw new InvalidSettingException(path + " is missing");
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
            throw invalid(path);
        }
        throw invalid(path);
    }

    private double millis(String path) {
        return number(path) / NANOS_PER_MILLI;
    }

    /** Returns an integer from 0 to {@link #MAX_COUNT}. */
    private int count(String path) {
        double value = number(path);
        if (value != Math.rint(value) || value < 0 || value > MAX_COUNT) {
            throw invalid(path);
        }
        return (int) value;
    }

    /**
     * Returns an optional number.
     *
     * @throws InvalidSettingException if the value is not a finite number
     */
    public double optionalNumber(String path, double defaultValue) {
        return pairs.containsKey(path) ? number(path) : defaultValue;
    }

    /**
     * Returns an optional time in milliseconds, given in nanoseconds.
     *
     * @throws InvalidSettingException if the value is not a finite number
     */
    public double optionalMillis(String path, double defaultMillis) {
        return pairs.containsKey(path) ? millis(path) : defaultMillis;
    }

    private boolean flag(String path) {
        return pairs.containsKey(path) && booleanValue(path);
    }

    private boolean booleanValue(String path) {
        return switch (text(path)) {
            case "true" -> true;
            case "false" -> false;
            default -> throw invalid(path);
        };
    }

    private InvalidSettingException invalid(String path) {
        return new InvalidSettingException(path + "=" + pairs.get(path) + " is not a valid value");
    }
}
