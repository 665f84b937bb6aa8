package sagepulley.discovery.http;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses addresses of the form HOST:PORT with a numeric host; host names are not resolved. */
public final class AddressParser {
    private static final int MAX_PORT = 65_535;

    private AddressParser() {}

    /** Parses an address; returns null if the text is not a valid one. */
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
