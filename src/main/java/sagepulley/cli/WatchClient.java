package sagepulley.cli;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import sagepulley.config.HostPort;

/** Asks a running gateway for its figures ([watch] listen). */
final class WatchClient {
    private static final int MAX_ANSWER_CHARS = 64 << 20;
    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(3)).build();
    private final HostPort address;

    WatchClient(HostPort address) {
        this.address = address;
    }

    String get(String path) throws IOException, InterruptedException {
        HttpResponse<String> answer =
                client.send(
                        HttpRequest.newBuilder(URI.create("http://" + address + path))
                                .timeout(Duration.ofSeconds(10))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
        if (answer.statusCode() != 200 || answer.body().length() > MAX_ANSWER_CHARS) {
            throw new IOException(address + " answers with status " + answer.statusCode());
        }
        return answer.body();
    }
}
