package sagepulley.faultinjection;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * A fleet of real gateway processes between stand-in clients, storage endpoints and discovery, all
 * on loopback.
 */
final class TestFleet implements Closeable {
    /** Period in which commands may still begin at a draining endpoint. */
    static final long DRAIN_GRACE_MILLIS = 1_000;

    /** The longest deadline of a client. */
    static final long MAX_DEADLINE_MILLIS = 1_500;

    /** The memory limit of a process in service. */
    static final long DEPLOYED_MEMORY_KILOBYTES = 192 * 1024;

    private static final int DEFAULT_SOCKETS = 256;
    private static final long DEFAULT_OBJECTIVE_MILLIS = 500;

    final DiscoveryServer discovery = new DiscoveryServer();
    final List<StoreServer> stores = new ArrayList<>();
    final List<GatewayProcess> gateways = new ArrayList<>();
    final List<ClientLoad> loads = new ArrayList<>();
    private final Path folder;
    private final int size;
    private final Map<Integer, InetSocketAddress> listenAddresses = new HashMap<>();
    private final Map<Integer, InetSocketAddress> discoveryAddresses = new HashMap<>();
    private final Map<String, String> environment = new HashMap<>();
    private final Map<Integer, List<Long>> reloads = new HashMap<>();
    private final List<String> launcher = new ArrayList<>();
    private int sockets = DEFAULT_SOCKETS;
    private long objectiveMillis = DEFAULT_OBJECTIVE_MILLIS;
    private long deadlineMillis = MAX_DEADLINE_MILLIS;
    private List<String> options = GatewayProcess.DEFAULT_OPTIONS;
    private final boolean automaticDiscovery;

    /** Creates a fleet with one listed endpoint per shard. */
    TestFleet(Path folder, int size, int shards) throws IOException {
        this(folder, size, shards, false);
    }

    /**
     * Creates a fleet; automaticDiscovery selects the automatic discovery mode instead of
     * subscribe.
     */
    TestFleet(Path folder, int size, int shards, boolean automaticDiscovery) throws IOException {
        this.folder = folder;
        this.size = size;
        this.automaticDiscovery = automaticDiscovery;
        for (int i = 0; i < shards; i++) {
            StoreServer store = new StoreServer(storeName(i), i);
            stores.add(store);
            discovery.endpoints.set(store.endpoint(Endpoint.State.SERVING, 0));
        }
        for (int i = 0; i < size; i++) {
            listenAddresses.put(i, Ports.allocate());
            discoveryAddresses.put(i, discovery.listenFor(i));
        }
    }

    /** Returns the name of a store in the endpoint list. */
    static String storeName(int number) {
        return "s-" + number;
    }

    /** Sets an environment variable of the gateway processes started from now on. */
    void setEnvironment(String name, String value) {
        environment.put(name, value);
    }

    /** Starts later gateway processes with SIGHUP ignored, as nohup does. */
    void launchWithSighupIgnored() {
        setLauncher("sh", "-c", "trap '' HUP; exec \"$0\" \"$@\"");
    }

    /** Sets the JVM options of the gateway processes started from now on. */
    void setOptions(List<String> jvmOptions) {
        options = jvmOptions;
    }

    /** Sets the latency objective and the deadline in configurations written from now on. */
    void setTimes(long newObjectiveMillis, long newDeadlineMillis) {
        objectiveMillis = newObjectiveMillis;
        deadlineMillis = newDeadlineMillis;
    }

    /** Sets the limit of descriptors in configurations written from now on. */
    void setSockets(int newSockets) {
        sockets = newSockets;
    }

    /** Returns the address on which a gateway listens. */
    InetSocketAddress listenAddress(int number) {
        return listenAddresses.get(number);
    }

    /** Sets a command that launches, by exec, the gateway processes started from now on. */
    void setLauncher(String... command) {
        launcher.clear();
        launcher.addAll(List.of(command));
    }

    /** Writes a gateway's configuration with the current endpoint list and starts its process. */
    GatewayProcess start(int number) throws IOException {
        writeConfig(number);
        GatewayProcess gateway =
                new GatewayProcess(
                        number,
                        listenAddresses.get(number),
                        configFile(number),
                        folder.resolve("gateway-" + number + ".log"),
                        environment,
                        launcher,
                        options);
        gateways.add(gateway);
        return gateway;
    }

    /** Starts clients that send requests to one gateway. */
    ClientLoad startLoad(
            int gateway, int clients, ClientLoad.ClientBehaviour behaviour, long seed) {
        ClientLoad load =
                new ClientLoad(
                        gateway,
                        listenAddresses.get(gateway),
                        stores.size(),
                        clients,
                        behaviour,
                        seed);
        loads.add(load);
        return load;
    }

    /** Moves discovery to another address for a gateway and writes it to the configuration. */
    void moveDiscovery(int number) throws IOException {
        discoveryAddresses.put(number, discovery.moveFor(number));
        writeConfig(number);
    }

    /** Moves discovery for a gateway and sends it SIGHUP. */
    void moveDiscovery(GatewayProcess gateway) throws IOException, InterruptedException {
        moveDiscovery(gateway.number);
        signalReload(gateway);
    }

    /** Records the time of a reload and sends SIGHUP. */
    void signalReload(GatewayProcess gateway) throws IOException, InterruptedException {
        reloads.computeIfAbsent(gateway.number, any -> new ArrayList<>()).add(System.nanoTime());
        gateway.signal("HUP");
    }

    /** Returns the times at which each gateway was sent SIGHUP with a new configuration. */
    Map<Integer, List<Long>> reloads() {
        return reloads;
    }

    /** Returns the discovery address in a gateway's configuration. */
    InetSocketAddress discoveryAddress(int number) {
        return discoveryAddresses.get(number);
    }

    /** Returns the path of a gateway's configuration file. */
    Path configFile(int number) {
        return folder.resolve("gateway-" + number + ".json");
    }

    /**
     * Replaces a gateway's configuration file by a directory, so that it cannot be read until it is
     * written again.
     */
    void makeConfigUnreadable(int number) throws IOException {
        Files.deleteIfExists(configFile(number));
        Files.createDirectory(configFile(number));
    }

    /** Writes a gateway's current configuration. */
    void writeConfig(int number) throws IOException {
        if (Files.isDirectory(configFile(number))) {
            Files.delete(configFile(number));
        }
        Files.writeString(configFile(number), config(number));
    }

    private String config(int number) {
        String known =
                discovery.endpoints.listed().stream()
                        .map(endpoint -> endpoint.json(false))
                        .collect(Collectors.joining(","));
        return """
                {"name": "n%d", "listen": "%s", "discovery": "%s", "seed": "%x",
                 "limits": {"cores": 1, "memory_mb": 256, "sockets": %d},
                 "known": {"revision": %d, "complete": true, "members": [%s]},
                 "settings": {
                  "me": %d, "balancers": %d, "az": 0, "tickNs": 1000000, "discovery": "%s",
                  "zones": ["here"], "kinds": ["plain"],
                  "classes": [
                   {"name": "get", "effect": "retryable", "sloNs": %d000000, "hardLimitNs": %d000000, "worth": 1.0},
                   {"name": "put", "effect": "fragile", "sloNs": %d000000, "hardLimitNs": %d000000, "worth": 1.0}],
                  "plans": [{"name": "any", "rate": 1000.0, "guaranteed": 100.0, "weight": 1.0, "price": 1.0}],
                  "contract": {"graceToAnswerNs": 50000000, "drainGraceNs": %d000000, "coldFrom": 0.5,
                   "coldNs": 3000000000, "fallMultiple": 2.0, "overloadForNs": 1000000000,
                   "askEveryNs": 10000000000},
                  "domain": {"changesData": [false, true], "maxUnits": 4, "usualUnits": 1, "coldBears": 20,
                   "shards": %d, "saysOthers": false},
                  "limits": {"mostTries": 2, "mayDuplicate": false, "mayProbe": false, "cancel": true,
                   "dialTimeoutNs": 250000000, "connIdleNs": 10000000000},
                  "report": {"how": "silent", "fields": []}}}
                """
                .formatted(
                        number,
                        hostAndPort(listenAddresses.get(number)),
                        hostAndPort(discoveryAddresses.get(number)),
                        number + 1,
                        sockets,
                        discovery.endpoints.revision(),
                        known,
                        number,
                        size,
                        automaticDiscovery ? "automatic" : "subscribe",
                        objectiveMillis,
                        deadlineMillis,
                        objectiveMillis,
                        deadlineMillis,
                        DRAIN_GRACE_MILLIS,
                        stores.size());
    }

    private static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Returns the requests of all clients so far. */
    List<Request> requests() {
        return loads.stream().flatMap(load -> load.requests.stream()).toList();
    }

    /** Returns the commands received by all stores so far. */
    List<StoreServer.Arrival> arrivals() {
        return stores.stream().flatMap(store -> store.arrivals.stream()).toList();
    }

    @Override
    public void close() {
        loads.forEach(ClientLoad::close);
        gateways.forEach(GatewayProcess::close);
        discovery.close();
        stores.forEach(StoreServer::close);
    }
}
