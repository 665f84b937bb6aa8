package sagepulley.discovery.http;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.NetUtil;
import java.net.InetSocketAddress;
import java.net.SocketAddress;

/**
 * Describes a request to discovery.
 *
 * @param isWatch whether to watch for changes after a revision instead of requesting the complete
 *     list
 * @param afterRevision revision that is known when the request is opened
 */
record EndpointListQuery(SocketAddress address, boolean isWatch, long afterRevision) {
    private static final String PATH = "/v1/endpoints";

    /** Host header for in-process channels, which have no network address. */
    private static final String LOCAL_HOST_HEADER = "here";

    FullHttpRequest toHttpRequest() {
        String query = isWatch ? "?watch=1&after=" + afterRevision : "";
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, PATH + query);
        String host =
                address instanceof InetSocketAddress socketAddress
                        ? NetUtil.toSocketAddressString(socketAddress)
                        : LOCAL_HOST_HEADER;
        request.headers().set(HttpHeaderNames.HOST, host);
        return request;
    }
}
