package sagepulley.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import sagepulley.transport.Transport;

/** Guards against a process that goes on without its event loop and answers nothing. */
@Timeout(30)
class EventLoopGuardTest {
    @Test
    void endOfTheEventLoopEndsTheProcessWithALogLine() throws Exception {
        ByteArrayOutputStream log = new ByteArrayOutputStream();
        CompletableFuture<Integer> exitStatus = new CompletableFuture<>();
        Transport transport = Transport.sockets(new EventLoopGuard(log, exitStatus::complete));
        transport.eventLoops().next().submit(() -> {}).get();
        assertFalse(exitStatus.isDone());
        transport.eventLoops().shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
        assertEquals(EventLoopGuard.EXIT_STATUS, exitStatus.get());
        assertTrue(log.toString(StandardCharsets.US_ASCII).contains("ERROR event loop ended"));
    }
}
