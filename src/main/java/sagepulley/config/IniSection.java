package sagepulley.config;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One section of an INI file, its values read by their kind. A value that is missing or not allowed
 * is noted as a mistake, and reading goes on with one that is allowed.
 */
final class IniSection {
    private static final Map<String, Double> TIME_UNITS = new LinkedHashMap<>();
    private static final Map<String, Double> BYTE_UNITS = new LinkedHashMap<>();

    /** Whole numbers below this are written without a fraction in mistakes. */
    private static final double MAX_PLAIN_INTEGER = 1e15;

    static {
        TIME_UNITS.put("ms", 1.0);
        TIME_UNITS.put("s", 1e3);
        TIME_UNITS.put("min", 60e3);
        TIME_UNITS.put("h", 3_600e3);
        BYTE_UNITS.put("B", 1.0);
        BYTE_UNITS.put("KiB", (double) (1L << 10));
        BYTE_UNITS.put("MiB", (double) (1L << 20));
        BYTE_UNITS.put("GiB", (double) (1L << 30));
        BYTE_UNITS.put("TiB", (double) (1L << 40));
    }

    private final IniReader ini;
    private final String name;

    IniSection(IniReader ini, String name) {
        this.ini = ini;
        this.name = name;
    }

    boolean has(String key) {
        return ini.value(name, key) != null;
    }

    /** The text of a key; a missing one is a mistake unless there is a default. */
    String text(String key, String defaultText) {
        ini.markRead(name, key);
        String text = ini.value(name, key);
        if (text != null) {
            return text;
        }
        if (defaultText == null) {
            addError(key, "is missing");
            return "";
        }
        return defaultText;
    }

    /** A number within bounds. */
    double number(String key, Double defaultValue, double min, double max) {
        String text = text(key, defaultValue == null ? null : String.valueOf(defaultValue));
        try {
            double value = Double.parseDouble(text);
            if (value >= min && value <= max) {
                return value;
            }
        } catch (NumberFormatException e) {
            // noted below, as what is out of bounds
        }
        if (!text.isEmpty() || has(key)) {
            addError(
                    key,
                    "is '%s', allowed is a number from %s to %s"
                            .formatted(text, format(min), format(max)));
        }
        return min;
    }

    /** A number within bounds that has no fraction. */
    int integer(String key, Integer defaultValue, int min, int max) {
        Double defaultNumber = defaultValue == null ? null : (double) defaultValue;
        double value = number(key, defaultNumber, min, max);
        if (value != Math.rint(value)) {
            addError(key, "is '" + format(value) + "', allowed is a whole number");
        }
        return (int) value;
    }

    /** A time in milliseconds, written as '250 ms', '2 s' or '5 min'. */
    double millis(String key, String defaultText, double min, double max) {
        return quantity(key, defaultText, min, max, TIME_UNITS);
    }

    /** Bytes, written as '512', '64 KiB', '32 MiB' or '4 GiB'. */
    long bytes(String key, String defaultText, long min, long max) {
        return (long) quantity(key, defaultText, (double) min, (double) max, BYTE_UNITS);
    }

    /** A number with a unit; the first of the units is that of the result and of the bounds. */
    private double quantity(
            String key, String defaultText, double min, double max, Map<String, Double> units) {
        String text = text(key, defaultText);
        if (text.isEmpty()) {
            return min;
        }
        String baseUnit = units.keySet().iterator().next();
        double value = parseQuantity(text, baseUnit, units);
        if (value >= min && value <= max) {
            return value;
        }
        addError(
                key,
                "is '%s', allowed is a number with one of %s, from %s to %s %s"
                        .formatted(
                                text,
                                String.join(", ", units.keySet()),
                                format(min),
                                format(max),
                                baseUnit));
        return min;
    }

    /** NaN if the text is no number with a unit. */
    private static double parseQuantity(String text, String baseUnit, Map<String, Double> units) {
        int split = text.length();
        while (split > 0 && Character.isLetter(text.charAt(split - 1))) {
            split--;
        }
        String unit = split == text.length() ? baseUnit : text.substring(split);
        for (Map.Entry<String, Double> entry : units.entrySet()) {
            if (entry.getKey().equalsIgnoreCase(unit)) {
                try {
                    return Double.parseDouble(text.substring(0, split).trim()) * entry.getValue();
                } catch (NumberFormatException e) {
                    return Double.NaN;
                }
            }
        }
        return Double.NaN;
    }

    /** Yes or no. */
    boolean flag(String key, boolean defaultValue) {
        String text = text(key, defaultValue ? "yes" : "no");
        if (!text.equals("yes") && !text.equals("no")) {
            addError(key, "is '" + text + "', allowed is yes or no");
        }
        return text.equals("yes");
    }

    /** One of several words, by its index. */
    int choice(String key, String defaultText, List<String> allowed) {
        String text = text(key, defaultText);
        int index = allowed.indexOf(text);
        if (index < 0 && !(text.isEmpty() && defaultText == null)) {
            addError(key, "is '" + text + "', allowed is one of " + String.join(", ", allowed));
        }
        return Math.max(0, index);
    }

    void addError(String key, String problem) {
        ini.addError(name, key, problem);
    }

    private static String format(double value) {
        return value == Math.rint(value) && Math.abs(value) < MAX_PLAIN_INTEGER
                ? Long.toString((long) value)
                : Double.toString(value);
    }
}
