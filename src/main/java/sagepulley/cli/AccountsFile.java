package sagepulley.cli;

import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sagepulley.accounts.Accounts;
import sagepulley.gateway.Gateway;

/** The file in which a gateway keeps its volumes' latency accounts: JSON, replaced whole. */
final class AccountsFile {
    private static final double LATELY = 590_000;
    private static final long EVERY_SECONDS = 10;
    private static final Logger LOG = LoggerFactory.getLogger(AccountsFile.class);

    private AccountsFile() {
    }

    /** Writes it every ten seconds from now on; what fails is logged, and tried again the next time. */
    static void keep(Gateway gateway, Path file) {
        ScheduledExecutorService writer = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "accounts");
            thread.setDaemon(true);
            return thread;
        });
        writer.scheduleAtFixedRate(() -> {
            try {
                write(gateway.accounts(LATELY).get(EVERY_SECONDS, TimeUnit.SECONDS), file);
            } catch (Exception e) {
                LOG.atWarn().addKeyValue("file", file).addKeyValue("why", e.toString()).log("accounts not written");
            }
        }, 1, EVERY_SECONDS, TimeUnit.SECONDS);
    }

    static void write(Map<String, Accounts.Report> reports, Path file) throws IOException {
        Path fresh = file.resolveSibling(file.getFileName() + ".new");
        Files.write(fresh, new JsonMapper().writeValueAsBytes(reports));
        Files.move(fresh, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }
}
