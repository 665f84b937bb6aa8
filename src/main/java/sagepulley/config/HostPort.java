package sagepulley.config;

import java.net.InetSocketAddress;

/** A host and port, written as host:port with an IPv6 host in brackets. */
public record HostPort(String host, int port) {
    private static final int MAX_PORT = 65_535;

    /** Parses an address; returns null if the text is not one. Port 0 selects any free port. */
    public static HostPort read(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            return null;
        }
        String host = text.substring(0, colon);
        if (host.startsWith("[") && host.endsWith("]")) {
            host = host.substring(1, host.length() - 1);
        } else if (host.contains(":")) {
            return null;
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return port < 0 || port > MAX_PORT || host.isEmpty() ? null : new HostPort(host, port);
        } catch (NumberFormatException e) {
            return null;
        }
    }

    /** Returns the socket address with its host resolved. */
    public InetSocketAddress socket() {
        return new InetSocketAddress(host, port);
    }

    @Override
    public String toString() {
        return (host.contains(":") ? "[" + host + "]" : host) + ":" + port;
    }
}
