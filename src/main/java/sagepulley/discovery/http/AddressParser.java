package sagepulley.discovery.http;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses HOST:PORT with a numeric host: names are not looked up. */
public final class AddressParser {
    private static final int MAX_PORT = 65_535;

    private AddressParser() {}

    /** The address; null if the text is none. */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0 || !text.substring(colon + 1).matches("[0-9]{1,5}")) {
            return null;
        }
        byte[] host = NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        int port = Integer.parseInt(text.substring(colon + 1));
        if (host == null || port == 0 || port > MAX_PORT) {
            return null;
        }
        try {
            return new InetSocketAddress(InetAddress.getByAddress(host), port);
        } catch (UnknownHostException impossible) {
            throw new IllegalStateException(impossible);
        }
    }
}
