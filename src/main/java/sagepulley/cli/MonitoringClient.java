package sagepulley.cli;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import sagepulley.config.HostPort;

/** HTTP client for the monitoring server of a running gateway ([watch] listen). */
final class MonitoringClient {
    private static final int MAX_RESPONSE_CHARS = 64 << 20;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);

    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(CONNECT_TIMEOUT).build();
    private final HostPort address;

    MonitoringClient(HostPort address) {
        this.address = address;
    }

    /** Returns the response body for a path; fails on another status than 200 or a longer body. */
    String get(String path) throws IOException, InterruptedException {
        HttpResponse<String> response =
                client.send(
                        HttpRequest.newBuilder(URI.create("http://" + address + path))
                                .timeout(REQUEST_TIMEOUT)
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
        if (response.statusCode() != 200 || response.body().length() > MAX_RESPONSE_CHARS) {
            throw new IOException(
                    address
                            + path
                            + ": expected status 200 and at most "
                            + MAX_RESPONSE_CHARS
                            + " characters, got status "
                            + response.statusCode()
                            + " and "
                            + response.body().length()
                            + " characters");
        }
        return response.body();
    }
}
