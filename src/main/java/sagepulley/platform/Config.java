package sagepulley.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import sagepulley.config.settings.SettingsReader;
import sagepulley.model.Deployment;

/**
 * What a gateway is told at its start, and again at SIGHUP: the file named by GW_CONFIG, and GW_*
 * beside it.
 */
record Config(
        String name,
        SocketAddress listen,
        SocketAddress discovery,
        long seed,
        int sockets,
        double memoryMb,
        EndpointListUpdate known,
        Deployment deployment,
        List<String> zones,
        List<String> kinds,
        double connectTimeout,
        double idleTime,
        int mostOpen) {
    private static final long LARGEST_FILE = 16 << 20;

    /**
     * A change of the endpoint list counts as notified so long after discovery had it, arrived or
     * not.
     */
    private static final double NOTIFIED_WITHIN_MS = 6_000;

    private static final int LEAST_SOCKETS = 64;
    private static final int LEAST_MEMORY_MB = 16;

    static Config read(Map<String, String> environment) throws ConfigException {
        String file = environment.get("GW_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new ConfigException("GW_CONFIG is not set");
        }
        byte[] bytes = bytes(file);
        try {
            return of(JsonReader.object(bytes), environment);
        } catch (ConfigException bad) {
            throw new ConfigException(file + ": " + bad.getMessage());
        } catch (IOException | RuntimeException bad) {
            throw new ConfigException(file + ": " + oneLine(bad));
        }
    }

    private static byte[] bytes(String file) throws ConfigException {
        try {
            Path path = Path.of(file);
            if (Files.size(path) > LARGEST_FILE) {
                throw new ConfigException(file + ": over " + LARGEST_FILE + " bytes");
            }
            return Files.readAllBytes(path);
        } catch (NoSuchFileException | InvalidPathException bad) {
            throw new ConfigException(file + ": " + oneLine(bad));
        } catch (IOException bad) {
            throw new UnreadableConfigException(file + ": " + oneLine(bad));
        }
    }

    private static String oneLine(Exception bad) {
        String text =
                bad instanceof NoSuchFileException
                        ? "there is no such file"
                        : bad.getMessage() == null
                                ? bad.getClass().getSimpleName()
                                : bad.getMessage();
        return text.lines().findFirst().orElse("cannot be read");
    }

    /** The same at other addresses, with all nodes known at one. */
    Config at(SocketAddress front, SocketAddress list, SocketAddress node) {
        return new Config(
                name,
                front,
                list,
                seed,
                sockets,
                memoryMb,
                known.at(node),
                deployment,
                zones,
                kinds,
                connectTimeout,
                idleTime,
                mostOpen);
    }

    static Config of(Map<String, Object> file, Map<String, String> environment)
            throws ConfigException, IOException {
        String name = text(file, "name", environment.get("GW_NAME"));
        InetSocketAddress listen = address(file, "listen", environment.get("GW_LISTEN"));
        InetSocketAddress discovery = address(file, "discovery", environment.get("GW_DISCOVERY"));
        Map<?, ?> limits = section(file, "limits");
        Map<?, ?> settings = section(file, "settings");
        Map<String, String> pairs = new HashMap<>();
        flatten("", settings, pairs);
        SettingsReader first = new SettingsReader(pairs);
        return new Config(
                name,
                listen,
                discovery,
                seed(file.get("seed")),
                (int) atLeast(limits, "sockets", LEAST_SOCKETS),
                atLeast(limits, "memory_mb", LEAST_MEMORY_MB),
                file.get("known") instanceof Map<?, ?> known
                        ? EndpointListUpdate.read(named(known))
                        : new EndpointListUpdate(0, true, List.of(), List.of()),
                first.deployment().onWatch(NOTIFIED_WITHIN_MS),
                names(settings.get("zones")),
                names(settings.get("kinds")),
                first.time("limits.dialTimeoutNs", 250),
                first.time("limits.connIdleNs", 15_000),
                (int) Math.min(Integer.MAX_VALUE, first.optionalNumber("limits.maxOpen", 20_000)));
    }

    /** Paths and values as the simulator's first message has them, one to a line. */
    private static void flatten(String path, Object value, Map<String, String> pairs) {
        if (value instanceof Map<?, ?> object) {
            object.forEach(
                    (name, item) ->
                            flatten(path.isEmpty() ? "" + name : path + "." + name, item, pairs));
        } else if (value instanceof List<?> items) {
            if (items.stream().anyMatch(Map.class::isInstance)) {
                pairs.put(path + ".count", Integer.toString(items.size()));
                for (int i = 0; i < items.size(); i++) {
                    flatten(path + "." + i, items.get(i), pairs);
                }
            } else {
                pairs.put(
                        path, items.stream().map(String::valueOf).collect(Collectors.joining(",")));
            }
        } else if (value != null) {
            pairs.put(path, value.toString());
        }
    }

    private static String text(Map<String, Object> file, String key, String without)
            throws ConfigException {
        Object value = file.getOrDefault(key, without);
        if (!(value instanceof String text) || text.isEmpty()) {
            throw new ConfigException(key + " is missing");
        }
        return text;
    }

    private static InetSocketAddress address(Map<String, Object> file, String key, String without)
            throws ConfigException {
        String text = text(file, key, without);
        InetSocketAddress address = AddressParser.read(text);
        if (address == null) {
            throw new ConfigException(key + "=" + text + " is no numeric HOST:PORT");
        }
        return address;
    }

    private static Map<?, ?> section(Map<String, Object> file, String key) throws ConfigException {
        if (file.get(key) instanceof Map<?, ?> section) {
            return section;
        }
        throw new ConfigException(key + " is missing");
    }

    private static double atLeast(Map<?, ?> limits, String key, double least)
            throws ConfigException {
        if (!(limits.get(key) instanceof Number number) || !(number.doubleValue() >= least)) {
            throw new ConfigException(
                    "limits."
                            + key
                            + "="
                            + limits.get(key)
                            + ", at least "
                            + (int) least
                            + " are needed");
        }
        return number.doubleValue();
    }

    private static long seed(Object value) throws ConfigException {
        if (value instanceof String text && text.matches("[0-9a-fA-F]{1,16}")) {
            return Long.parseUnsignedLong(text, 16);
        }
        if (value instanceof Number number) {
            return number.longValue();
        }
        throw new ConfigException("seed=" + value + " is no hex number of up to 16 digits");
    }

    private static List<String> names(Object value) {
        return value instanceof List<?> names
                ? names.stream().map(String::valueOf).toList()
                : List.of();
    }

    private static Map<String, Object> named(Map<?, ?> object) {
        Map<String, Object> named = new HashMap<>();
        object.forEach((name, value) -> named.put((String) name, value));
        return named;
    }
}
