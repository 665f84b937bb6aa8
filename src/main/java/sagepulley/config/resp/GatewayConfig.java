package sagepulley.config.resp;

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
import sagepulley.discovery.http.AddressParser;
import sagepulley.discovery.http.EndpointListUpdate;
import sagepulley.discovery.http.JsonReader;
import sagepulley.model.Deployment;

/**
 * What a gateway is told at its start, and again at SIGHUP: the file named by GW_CONFIG, and GW_*
 * beside it.
 */
public record GatewayConfig(
        String name,
        SocketAddress listen,
        SocketAddress discovery,
        long seed,
        int maxSockets,
        double memoryMb,
        EndpointListUpdate initialEndpoints,
        Deployment deployment,
        List<String> zones,
        List<String> kinds,
        double connectTimeoutMillis,
        double idleTimeoutMillis,
        int maxInFlight) {
    private static final long MAX_FILE_BYTES = 16 << 20;

    /**
     * A change of the endpoint list counts as notified so long after discovery had it, arrived or
     * not.
     */
    private static final double NOTIFICATION_DELAY_MILLIS = 6_000;

    private static final int MIN_SOCKETS = 64;
    private static final int MIN_MEMORY_MB = 16;

    public static GatewayConfig read(Map<String, String> environment) throws ConfigException {
        String file = environment.get("GW_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new ConfigException("GW_CONFIG is not set");
        }
        byte[] bytes = bytes(file);
        try {
            return parse(JsonReader.readObject(bytes), environment);
        } catch (ConfigException failure) {
            throw new ConfigException(file + ": " + failure.getMessage());
        } catch (IOException | RuntimeException failure) {
            throw new ConfigException(file + ": " + firstLine(failure));
        }
    }

    private static byte[] bytes(String file) throws ConfigException {
        try {
            Path path = Path.of(file);
            if (Files.size(path) > MAX_FILE_BYTES) {
                throw new ConfigException(file + ": over " + MAX_FILE_BYTES + " bytes");
            }
            return Files.readAllBytes(path);
        } catch (NoSuchFileException | InvalidPathException failure) {
            throw new ConfigException(file + ": " + firstLine(failure));
        } catch (IOException failure) {
            throw new UnreadableConfigException(file + ": " + firstLine(failure));
        }
    }

    private static String firstLine(Exception failure) {
        String text =
                failure instanceof NoSuchFileException
                        ? "there is no such file"
                        : failure.getMessage() == null
                                ? failure.getClass().getSimpleName()
                                : failure.getMessage();
        return text.lines().findFirst().orElse("cannot be read");
    }

    /** The same at other addresses, with all nodes known at one. */
    public GatewayConfig withAddresses(
            SocketAddress front, SocketAddress list, SocketAddress node) {
        return new GatewayConfig(
                name,
                front,
                list,
                seed,
                maxSockets,
                memoryMb,
                initialEndpoints.withAddress(node),
                deployment,
                zones,
                kinds,
                connectTimeoutMillis,
                idleTimeoutMillis,
                maxInFlight);
    }

    public static GatewayConfig parse(Map<String, Object> file, Map<String, String> environment)
            throws ConfigException, IOException {
        String name = text(file, "name", environment.get("GW_NAME"));
        InetSocketAddress listen = address(file, "listen", environment.get("GW_LISTEN"));
        InetSocketAddress discovery = address(file, "discovery", environment.get("GW_DISCOVERY"));
        Map<?, ?> limits = section(file, "limits");
        Map<?, ?> settings = section(file, "settings");
        Map<String, String> pairs = new HashMap<>();
        flatten("", settings, pairs);
        SettingsReader first = new SettingsReader(pairs);
        return new GatewayConfig(
                name,
                listen,
                discovery,
                seed(file.get("seed")),
                (int) numberAtLeast(limits, "sockets", MIN_SOCKETS),
                numberAtLeast(limits, "memory_mb", MIN_MEMORY_MB),
                file.get("known") instanceof Map<?, ?> known
                        ? EndpointListUpdate.parse(withStringKeys(known))
                        : new EndpointListUpdate(0, true, List.of(), List.of()),
                first.deployment().onWatch(NOTIFICATION_DELAY_MILLIS),
                strings(settings.get("zones")),
                strings(settings.get("kinds")),
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

    private static String text(Map<String, Object> file, String key, String defaultValue)
            throws ConfigException {
        Object value = file.getOrDefault(key, defaultValue);
        if (!(value instanceof String text) || text.isEmpty()) {
            throw new ConfigException(key + " is missing");
        }
        return text;
    }

    private static InetSocketAddress address(
            Map<String, Object> file, String key, String defaultValue) throws ConfigException {
        String text = text(file, key, defaultValue);
        InetSocketAddress address = AddressParser.parse(text);
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

    private static double numberAtLeast(Map<?, ?> limits, String key, double min)
            throws ConfigException {
        if (!(limits.get(key) instanceof Number number) || !(number.doubleValue() >= min)) {
            throw new ConfigException(
                    "limits."
                            + key
                            + "="
                            + limits.get(key)
                            + ", at least "
                            + (int) min
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

    private static List<String> strings(Object value) {
        return value instanceof List<?> names
                ? names.stream().map(String::valueOf).toList()
                : List.of();
    }

    private static Map<String, Object> withStringKeys(Map<?, ?> object) {
        Map<String, Object> named = new HashMap<>();
        object.forEach((name, value) -> named.put((String) name, value));
        return named;
    }
}
