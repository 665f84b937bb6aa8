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

/** Reads the sections of an INI file. Collects all errors and reports them together. */
final class IniReader {
    private static final int MAX_FILE_BYTES = 1 << 20;

    private final String file;
    private final Map<String, Map<String, String>> sections = new LinkedHashMap<>();
    private final Set<String> keysRead = new HashSet<>();
    private final List<String> errors = new ArrayList<>();

    /** Reads a file; throws if it cannot be read or is not an INI file. */
    IniReader(Path path) throws SiteConfigException {
        file = path.toString();
        try {
            if (Files.size(path) > MAX_FILE_BYTES) {
                throw new SiteConfigException(file + ": file is larger than 1 MiB");
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

    /** Reads from a reader; error messages contain the given name. */
    IniReader(String name, Reader reader) throws SiteConfigException {
        file = name;
        load(reader);
    }

    private void load(Reader reader) throws SiteConfigException {
        INIConfiguration ini = new INIConfiguration();
        try {
            ini.read(reader);
        } catch (ConfigurationException | IOException | RuntimeException e) {
            throw new SiteConfigException(file + ": not a valid INI file: " + e.getMessage());
        }
        for (String name : ini.getSections()) {
            Map<String, String> values = values(name, ini.getSection(name));
            if (name != null) {
                sections.put(name, values);
                continue;
            }
            for (String key : values.keySet()) {
                errors.add(file + ": " + key + ": key before the first section");
            }
        }
    }

    private Map<String, String> values(String name, SubnodeConfiguration section) {
        Map<String, String> values = new LinkedHashMap<>();
        section.getKeys()
                .forEachRemaining(
                        key -> {
                            List<Object> keyValues = section.getList(key);
                            // the library escapes dots in keys
                            String unescapedKey = key.replace("..", ".");
                            if (keyValues.size() > 1) {
                                addError(
                                        name,
                                        unescapedKey,
                                        "occurs " + keyValues.size() + " times, expected once");
                            }
                            values.put(unescapedKey, String.valueOf(keyValues.get(0)).trim());
                        });
        return values;
    }

    /** Returns a section by its full name, whether or not the file contains it. */
    IniSection section(String name) {
        return new IniSection(this, name);
    }

    /**
     * Returns the names of all sections whose first word is the prefix, without that word and in
     * file order.
     */
    List<String> sectionNames(String prefix) {
        List<String> names = new ArrayList<>();
        for (String section : sections.keySet()) {
            if (section.startsWith(prefix + " ")) {
                names.add(section.substring(prefix.length() + 1).trim());
            }
        }
        return names;
    }

    /** Returns the value of a key, or null if the file does not contain it. */
    String value(String section, String key) {
        return sections.containsKey(section) ? sections.get(section).get(key) : null;
    }

    void markRead(String section, String key) {
        keysRead.add(section + "\n" + key);
    }

    void addError(String section, String key, String problem) {
        errors.add(file + ": [" + section + "] " + key + ": " + problem);
    }

    /**
     * Checks that the file has no errors and that all of its sections and keys were read.
     *
     * @param allowedPrefixes the first words that section names may have
     * @throws SiteConfigException if there are errors, or sections or keys that were not read
     */
    void finish(Set<String> allowedPrefixes) throws SiteConfigException {
        sections.forEach(
                (section, values) -> {
                    if (!allowedPrefixes.contains(section.split(" ")[0])) {
                        errors.add(
                                "%s: [%s]: unknown section, expected one of %s"
                                        .formatted(
                                                file,
                                                section,
                                                String.join(
                                                        ", ",
                                                        allowedPrefixes.stream()
                                                                .sorted()
                                                                .toList())));
                        return;
                    }
                    for (String key : values.keySet()) {
                        if (!keysRead.contains(section + "\n" + key)) {
                            addError(section, key, "unknown key");
                        }
                    }
                });
        if (!errors.isEmpty()) {
            throw new SiteConfigException(String.join("\n", errors));
        }
    }
}
