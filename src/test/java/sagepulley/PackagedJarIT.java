package sagepulley;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.jar.JarFile;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the jar as it is packaged and started. */
class PackagedJarIT {
    private static final Path JAR = Path.of("target", "sagepulley.jar");

    /** Guards against a jar that falls back to NIO on one of the supported machines. */
    @ParameterizedTest
    @ValueSource(strings = {"x86_64", "aarch_64"})
    void jarHoldsTheNativeEpollLibrary(String machine) throws Exception {
        try (JarFile jar = new JarFile(JAR.toFile())) {
            assertNotNull(
                    jar.getEntry(
                            "META-INF/native/libnetty_transport_native_epoll_" + machine + ".so"));
        }
    }

    /** Guards against gateways that run on NIO without a word, where rules do not hold. */
    @ParameterizedTest
    @ValueSource(strings = {"serve", "gateway"})
    void gatewayWithoutEpollRefusesToStart(String command) throws Exception {
        ProcessBuilder builder =
                new ProcessBuilder(
                        "java", "-Dio.netty.transport.noNative=true", "-jar", JAR.toString());
        builder.command().add(command);
        if (command.equals("gateway")) {
            builder.command().add("src/main/resources/demo-site.ini");
        }
        Process process = builder.redirectErrorStream(true).start();
        assertTrue(process.waitFor(30, TimeUnit.SECONDS));
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(1, process.exitValue(), output);
        assertTrue(output.contains("netty_transport_native_epoll"), output);
        assertTrue(output.contains(System.getProperty("os.arch")), output);
    }

    /** Guards against a build machine on which epoll exists but does not load from the jar. */
    @Test
    void serveLoadsEpollFromTheJar() throws Exception {
        ProcessBuilder builder = new ProcessBuilder("java", "-jar", JAR.toString(), "serve");
        builder.environment().remove("GW_CONFIG");
        Process process = builder.redirectErrorStream(true).start();
        assertTrue(process.waitFor(30, TimeUnit.SECONDS));
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(output.contains("GW_CONFIG"), output); // the check after the transport's
    }
}
