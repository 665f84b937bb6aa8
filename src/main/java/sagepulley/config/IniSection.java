package sagepulley.config;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads typed values from a section of an INI file. A missing or invalid value is recorded as an
 * error and replaced by a valid one, so that reading can continue.
 */
final class IniSection {
    private static final Map<String, Double> TIME_UNITS = new LinkedHashMap<>();
    private static final Map<String, Double> BYTE_UNITS = new LinkedHashMap<>();

    /** Whole numbers below this limit are formatted without a fraction. */
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

    /** Returns the text of a key; a missing key without a default is an error. */
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

    /** Returns a number within bounds. */
    double number(String key, Double defaultValue, double min, double max) {
        String text = text(key, defaultValue == null ? null : String.valueOf(defaultValue));
        try {
            double value = Double.parseDouble(text);
            if (value >= min && value <= max) {
                return value;
            }
        } catch (NumberFormatException e) {
            // reported below, like a number out of bounds
        }
        if (!text.isEmpty() || has(key)) {
            addError(
                    key,
                    "is '%s', expected a number from %s to %s"
                            .formatted(text, format(min), format(max)));
        }
        return min;
    }

    /** Returns an integer within bounds. */
    int integer(String key, Integer defaultValue, int min, int max) {
        Double defaultNumber = defaultValue == null ? null : (double) defaultValue;
        double value = number(key, defaultNumber, min, max);
        if (value != Math.rint(value)) {
            addError(key, "is '" + format(value) + "', expected an integer");
        }
        return (int) value;
    }

    /** Returns a time in milliseconds, written as '250 ms', '2 s' or '5 min'. */
    double millis(String key, String defaultText, double min, double max) {
        return quantity(key, defaultText, min, max, TIME_UNITS);
    }

    /** Returns a size in bytes, written as '512', '64 KiB', '32 MiB' or '4 GiB'. */
    long bytes(String key, String defaultText, long min, long max) {
        return (long) quantity(key, defaultText, (double) min, (double) max, BYTE_UNITS);
    }

    /**
     * Returns a number with a unit, converted to the first of the units, in which the bounds are
     * given.
     */
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
                "is '%s', expected a number with one of the units %s, from %s to %s %s"
                        .formatted(
                                text,
                                String.join(", ", units.keySet()),
                                format(min),
                                format(max),
                                baseUnit));
        return min;
    }

    /** Parses a number with a unit; returns NaN if the text is not one. */
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

    /** Returns true for yes and false for no. */
    boolean flag(String key, boolean defaultValue) {
        String text = text(key, defaultValue ? "yes" : "no");
        if (!text.equals("yes") && !text.equals("no")) {
            addError(key, "is '" + text + "', expected yes or no");
        }
        return text.equals("yes");
    }

    /** Returns the index of the value in the list of allowed values. */
    int choice(String key, String defaultText, List<String> allowed) {
        String text = text(key, defaultText);
        int index = allowed.indexOf(text);
        if (index < 0 && !(text.isEmpty() && defaultText == null)) {
            addError(key, "is '" + text + "', expected one of " + String.join(", ", allowed));
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
