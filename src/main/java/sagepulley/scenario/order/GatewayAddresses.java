package sagepulley.scenario.order;

import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicReferenceArray;

/** The current addresses of the gateways of a run, which change with restarts. Thread-safe. */
final class GatewayAddresses {
    private final AtomicReferenceArray<InetSocketAddress> addresses;

    GatewayAddresses(int count) {
        addresses = new AtomicReferenceArray<>(count);
    }

    int count() {
        return addresses.length();
    }

    InetSocketAddress address(int gateway) {
        return addresses.get(gateway);
    }

    void set(int gateway, InetSocketAddress address) {
        addresses.set(gateway, address);
    }
}
