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
 * The configuration of a RESP gateway: the JSON file named by GW_CONFIG. GW_NAME, GW_LISTEN and
 * GW_DISCOVERY replace keys that the file lacks. Read at startup and again on SIGHUP.
 *
 * @param listen the address on which clients connect
 * @param maxSockets the maximum number of open file descriptors
 * @param memoryMb the memory of the process in MB
 * @param initialEndpoints the endpoint list that is used until discovery sends one
 * @param zones the names of the zones, by index
 * @param kinds the names of the endpoint kinds, by index
 * @param maxInFlight the maximum number of operations in flight
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

    /** A change of the endpoint list counts as notified this long after discovery received it. */
    private static final double NOTIFICATION_DELAY_MILLIS = 6_000;

    private static final double DEFAULT_CONNECT_TIMEOUT_MILLIS = 250;
    private static final double DEFAULT_IDLE_TIMEOUT_MILLIS = 15_000;
    private static final double DEFAULT_MAX_IN_FLIGHT = 20_000;
    private static final int MIN_SOCKETS = 64;
    private static final int MIN_MEMORY_MB = 16;

    /**
     * Reads the file that the environment names.
     *
     * @throws ConfigException with a one-line message that names the file and the error
     * @throws UnreadableConfigException if an I/O error prevented reading the file
     */
    public static GatewayConfig read(Map<String, String> environment) throws ConfigException {
        String file = environment.get("GW_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new ConfigException("GW_CONFIG is not set");
        }
        byte[] content = readFile(file);
        try {
            return parse(JsonReader.readObject(content), environment);
        } catch (ConfigException failure) {
            throw new ConfigException(file + ": " + failure.getMessage());
        } catch (IOException | RuntimeException failure) {
            throw new ConfigException(file + ": " + firstLine(failure));
        }
    }

    private static byte[] readFile(String file) throws ConfigException {
        try {
            Path path = Path.of(file);
            if (Files.size(path) > MAX_FILE_BYTES) {
                throw new ConfigException(
                        file + ": file is larger than " + MAX_FILE_BYTES + " bytes");
            }
            return Files.readAllBytes(path);
        } catch (NoSuchFileException | InvalidPathException failure) {
            throw new ConfigException(file + ": " + firstLine(failure));
        } catch (IOException failure) {
            throw new UnreadableConfigException(file + ": " + firstLine(failure));
        }
    }

    private static String firstLine(Exception failure) {
        if (failure instanceof NoSuchFileException) {
            return "there is no such file";
        }
        if (failure.getMessage() == null) {
            return failure.getClass().getSimpleName();
        }
        return failure.getMessage().lines().findFirst().orElse("cannot be read");
    }

    /**
     * Returns this configuration with other addresses, and with all initial endpoints at one
     * address.
     */
    public GatewayConfig withAddresses(
            SocketAddress newListen, SocketAddress newDiscovery, SocketAddress endpoint) {
        return new GatewayConfig(
                name,
                newListen,
                newDiscovery,
                seed,
                maxSockets,
                memoryMb,
                initialEndpoints.withAddress(endpoint),
                deployment,
                zones,
                kinds,
                connectTimeoutMillis,
                idleTimeoutMillis,
                maxInFlight);
    }

    /** Parses the JSON object of a configuration file. */
    public static GatewayConfig parse(Map<String, Object> file, Map<String, String> environment)
            throws ConfigException, IOException {
        String name = text(file, "name", environment.get("GW_NAME"));
        InetSocketAddress listen = address(file, "listen", environment.get("GW_LISTEN"));
        InetSocketAddress discovery = address(file, "discovery", environment.get("GW_DISCOVERY"));
        Map<?, ?> limits = section(file, "limits");
        Map<?, ?> settings = section(file, "settings");
        Map<String, String> settingsByPath = new HashMap<>();
        flatten("", settings, settingsByPath);
        SettingsReader reader = new SettingsReader(settingsByPath);
        return new GatewayConfig(
                name,
                listen,
                discovery,
                seed(file.get("seed")),
                (int) numberWithMin(limits, "sockets", MIN_SOCKETS),
                numberWithMin(limits, "memory_mb", MIN_MEMORY_MB),
                file.get("known") instanceof Map<?, ?> initialList
                        ? EndpointListUpdate.parse(withStringKeys(initialList))
                        : new EndpointListUpdate(0, true, List.of(), List.of()),
                reader.deployment().withWatch(NOTIFICATION_DELAY_MILLIS),
                strings(settings.get("zones")),
                strings(settings.get("kinds")),
                reader.optionalMillis("limits.dialTimeoutNs", DEFAULT_CONNECT_TIMEOUT_MILLIS),
                reader.optionalMillis("limits.connIdleNs", DEFAULT_IDLE_TIMEOUT_MILLIS),
                (int)
                        Math.min(
                                Integer.MAX_VALUE,
                                reader.optionalNumber("limits.maxOpen", DEFAULT_MAX_IN_FLIGHT)));
    }

    /** Flattens nested settings to the paths and values that {@link SettingsReader} reads. */
    private static void flatten(String path, Object value, Map<String, String> settingsByPath) {
        if (value instanceof Map<?, ?> object) {
            object.forEach(
                    (name, item) ->
                            flatten(
                                    path.isEmpty() ? "" + name : path + "." + name,
                                    item,
                                    settingsByPath));
        } else if (value instanceof List<?> items) {
            if (items.stream().anyMatch(Map.class::isInstance)) {
                settingsByPath.put(path + ".count", Integer.toString(items.size()));
                for (int i = 0; i < items.size(); i++) {
                    flatten(path + "." + i, items.get(i), settingsByPath);
                }
            } else {
                settingsByPath.put(
                        path, items.stream().map(String::valueOf).collect(Collectors.joining(",")));
            }
        } else if (value != null) {
            settingsByPath.put(path, value.toString());
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
            throw new ConfigException(key + "=" + text + " is not a numeric HOST:PORT");
        }
        return address;
    }

    private static Map<?, ?> section(Map<String, Object> file, String key) throws ConfigException {
        if (file.get(key) instanceof Map<?, ?> section) {
            return section;
        }
        throw new ConfigException(key + " is missing");
    }

    private static double numberWithMin(Map<?, ?> limits, String key, double min)
            throws ConfigException {
        if (!(limits.get(key) instanceof Number number) || !(number.doubleValue() >= min)) {
            throw new ConfigException(
                    "limits." + key + "=" + limits.get(key) + ", expected at least " + (int) min);
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
        throw new ConfigException(
                "seed=" + value + ", expected a hexadecimal number of up to 16 digits");
    }

    private static List<String> strings(Object value) {
        return value instanceof List<?> names
                ? names.stream().map(String::valueOf).toList()
                : List.of();
    }

    private static Map<String, Object> withStringKeys(Map<?, ?> object) {
        Map<String, Object> result = new HashMap<>();
        object.forEach((name, value) -> result.put((String) name, value));
        return result;
    }
}
