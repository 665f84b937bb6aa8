package sagepulley.config;

import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;

/**
 * An INI file's sections, with values read by their kind; every mistake is noted, and told all
 * together.
 */
final class IniReader {
    private static final int LONGEST = 1 << 20;
    private final String file;
    private final Map<String, Map<String, String>> sections = new LinkedHashMap<>();
    private final Set<String> read = new HashSet<>();
    private final List<String> mistakes = new ArrayList<>();

    IniReader(Path path) throws SiteConfigException {
        file = path.toString();
        try {
            if (Files.size(path) > LONGEST) {
                throw new SiteConfigException(file + ": is longer than 1 MiB");
            }
        } catch (IOException e) {
            throw new SiteConfigException(file + ": cannot be read: " + e);
        }
        try (Reader reader = Files.newBufferedReader(path)) {
            load(reader);
        } catch (IOException e) {
            throw new SiteConfigException(file + ": cannot be read: " + e);
        }
    }

    IniReader(String name, Reader reader) throws SiteConfigException {
        file = name;
        load(reader);
    }

    private void load(Reader reader) throws SiteConfigException {
        INIConfiguration ini = new INIConfiguration();
        try {
            ini.read(reader);
        } catch (ConfigurationException | IOException | RuntimeException e) {
            throw new SiteConfigException(file + ": is no INI file: " + e.getMessage());
        }
        for (String name : ini.getSections()) {
            Map<String, String> values = new LinkedHashMap<>();
            SubnodeConfiguration section = ini.getSection(name);
            section.getKeys()
                    .forEachRemaining(
                            key -> {
                                List<Object> all = section.getList(key);
                                String plain = key.replace("..", ".");
                                if (all.size() > 1) {
                                    mistakes.add(
                                            place(name, plain)
                                                    + ": stands there "
                                                    + all.size()
                                                    + " times, once is allowed");
                                }
                                values.put(plain, String.valueOf(all.get(0)).trim());
                            });
            if (name == null) {
                values.keySet()
                        .forEach(
                                key ->
                                        mistakes.add(
                                                file
                                                        + ": "
                                                        + key
                                                        + ": stands before the first section"));
            } else {
                sections.put(name, values);
            }
        }
    }

    /** The names of sections that start with the word, in the file's order, without the word. */
    List<String> named(String word) {
        List<String> names = new ArrayList<>();
        for (String section : sections.keySet()) {
            if (section.startsWith(word + " ")) {
                names.add(section.substring(word.length() + 1).trim());
            }
        }
        return names;
    }

    boolean has(String section, String key) {
        return sections.containsKey(section) && sections.get(section).containsKey(key);
    }

    /** The text of a key; a missing one is a mistake unless there is a value without it. */
    String text(String section, String key, String without) {
        read.add(section + "\n" + key);
        if (has(section, key)) {
            return sections.get(section).get(key);
        }
        if (without == null) {
            mistake(section, key, "is missing");
            return "";
        }
        return without;
    }

    /** A number within bounds. */
    double number(String section, String key, Double without, double least, double most) {
        String text = text(section, key, without == null ? null : String.valueOf(without));
        try {
            double value = Double.parseDouble(text);
            if (value >= least && value <= most) {
                return value;
            }
        } catch (NumberFormatException e) {
            // told below, as what is out of bounds
        }
        if (!text.isEmpty() || has(section, key)) {
            mistake(
                    section,
                    key,
                    "is '"
                            + text
                            + "', allowed is a number from "
                            + plain(least)
                            + " to "
                            + plain(most));
        }
        return least;
    }

    int whole(String section, String key, Integer without, int least, int most) {
        double value = number(section, key, without == null ? null : (double) without, least, most);
        if (value != Math.rint(value)) {
            mistake(section, key, "is '" + plain(value) + "', allowed is a whole number");
        }
        return (int) value;
    }

    /** A time in milliseconds, written as '250 ms', '2 s' or '5 min'. */
    double time(String section, String key, String without, double least, double most) {
        return measured(
                section,
                key,
                without,
                least,
                most,
                new String[] {"ms", "s", "min", "h"},
                new double[] {1, 1000, 60_000, 3_600_000},
                "ms");
    }

    /** Bytes, written as '512', '64 KiB', '32 MiB' or '4 GiB'. */
    long bytes(String section, String key, String without, long least, long most) {
        return (long)
                measured(
                        section,
                        key,
                        without,
                        (double) least,
                        (double) most,
                        new String[] {"B", "KiB", "MiB", "GiB", "TiB"},
                        new double[] {1, 1 << 10, 1 << 20, 1 << 30, 1L << 40},
                        "B");
    }

    private double measured(
            String section,
            String key,
            String without,
            double least,
            double most,
            String[] units,
            double[] factors,
            String bare) {
        String text = text(section, key, without);
        if (text.isEmpty()) {
            return least;
        }
        int split = text.length();
        while (split > 0 && Character.isLetter(text.charAt(split - 1))) {
            split--;
        }
        String unit = split == text.length() ? bare : text.substring(split);
        for (int i = 0; i < units.length; i++) {
            if (units[i].equalsIgnoreCase(unit)) {
                try {
                    double value = Double.parseDouble(text.substring(0, split).trim()) * factors[i];
                    if (value >= least && value <= most) {
                        return value;
                    }
                } catch (NumberFormatException e) {
                    break;
                }
            }
        }
        mistake(
                section,
                key,
                "is '"
                        + text
                        + "', allowed is a number with one of "
                        + String.join(", ", units)
                        + ", from "
                        + plain(least)
                        + " to "
                        + plain(most)
                        + " "
                        + bare);
        return least;
    }

    boolean truth(String section, String key, boolean without) {
        String text = text(section, key, without ? "yes" : "no");
        if (!text.equals("yes") && !text.equals("no")) {
            mistake(section, key, "is '" + text + "', allowed is yes or no");
        }
        return text.equals("yes");
    }

    /** One of several words, by its place. */
    int choice(String section, String key, String without, List<String> words) {
        String text = text(section, key, without);
        int at = words.indexOf(text);
        if (at < 0 && !(text.isEmpty() && without == null)) {
            mistake(
                    section,
                    key,
                    "is '" + text + "', allowed is one of " + String.join(", ", words));
        }
        return Math.max(0, at);
    }

    void mistake(String section, String key, String what) {
        mistakes.add(place(section, key) + ": " + what);
    }

    private String place(String section, String key) {
        return file + ": [" + section + "] " + key;
    }

    /** Tells all mistakes, and every section or key that nobody asked for. */
    void finish(Set<String> words) throws SiteConfigException {
        sections.forEach(
                (section, values) -> {
                    String word = section.split(" ")[0];
                    if (!words.contains(word)) {
                        mistakes.add(
                                file
                                        + ": ["
                                        + section
                                        + "]: is not known, allowed are "
                                        + String.join(", ", words.stream().sorted().toList()));
                        return;
                    }
                    values.keySet()
                            .forEach(
                                    key -> {
                                        if (!read.contains(section + "\n" + key)) {
                                            mistake(section, key, "is not known");
                                        }
                                    });
                });
        if (!mistakes.isEmpty()) {
            throw new SiteConfigException(String.join("\n", mistakes));
        }
    }

    private static String plain(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15
                ? Long.toString((long) value)
                : Double.toString(value);
    }
}
