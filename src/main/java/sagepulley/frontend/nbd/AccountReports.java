package sagepulley.frontend.nbd;

import io.netty.channel.EventLoop;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import sagepulley.accounts.Accounts;
import sagepulley.accounts.IncrementalCopy;
import sagepulley.accounts.LatencyAccount;
import sagepulley.accounts.LatencyReport;
import sagepulley.accounts.StoredAccounts;
import sagepulley.accounts.Totals;
import sagepulley.engine.Clock;
import sagepulley.persistence.GatewayAccounts;

/**
 * Hands the accounts to operators and to the disk. Its public face may be called from any thread;
 * the accounts are read on the engine's event loop only, a few at a time.
 */
final class AccountReports {
    private static final int WINDOWS_PER_COPY_STEP = 64;

    private final String gatewayName;
    private final EventLoop loop;
    private final Clock clock;
    private final Map<String, ExportedVolume> volumes;
    private final Accounts accounts;
    private final Supplier<Map<Long, Double>> listVersions;

    /**
     * @param listVersions when the latest versions of the endpoint list came, in wall-clock
     *     milliseconds; asked on the loop
     */
    AccountReports(
            String gatewayName,
            EventLoop loop,
            Clock clock,
            Map<String, ExportedVolume> volumes,
            Accounts accounts,
            Supplier<Map<Long, Double>> listVersions) {
        this.gatewayName = gatewayName;
        this.loop = loop;
        this.clock = clock;
        this.volumes = volumes;
        this.accounts = accounts;
        this.listVersions = listVersions;
    }

    /** A copy of the accounts, and the versions of the endpoint list when it was complete. */
    private record AccountCopy(LatencyAccount account, Map<Long, Double> listVersions) {}

    /** Each volume's account of the last so many milliseconds, by name. */
    CompletableFuture<Map<String, LatencyReport>> recent(double millis) {
        return CompletableFuture.supplyAsync(() -> recentOnLoop(millis), loop);
    }

    private Map<String, LatencyReport> recentOnLoop(double millis) {
        double now = clock.now();
        LatencyAccount account = accounts.snapshot();
        Map<String, LatencyReport> reports = new LinkedHashMap<>();
        volumes.forEach(
                (name, volume) ->
                        reports.put(
                                name,
                                account.report(
                                        volume.settings.id(),
                                        clock.toWallClock(now - millis),
                                        clock.toWallClock(now))));
        return reports;
    }

    /** Sums since the start. */
    CompletableFuture<Totals> totals() {
        return CompletableFuture.supplyAsync(accounts::totals, loop);
    }

    /** The accounts as they go to disk; assembled off the event loop from a copy. */
    CompletableFuture<GatewayAccounts> snapshot() {
        CompletableFuture<AccountCopy> copied = new CompletableFuture<>();
        loop.execute(() -> copyStep(accounts.startCopy(), copied));
        return copied.thenApplyAsync(this::toGatewayAccounts);
    }

    private void copyStep(IncrementalCopy copy, CompletableFuture<AccountCopy> copied) {
        LatencyAccount complete = copy.copyNext(WINDOWS_PER_COPY_STEP);
        if (complete != null) {
            copied.complete(new AccountCopy(complete, Map.copyOf(listVersions.get())));
        } else {
            loop.execute(() -> copyStep(copy, copied));
        }
    }

    private GatewayAccounts toGatewayAccounts(AccountCopy copy) {
        Map<Long, String> names = new LinkedHashMap<>();
        volumes.forEach((name, volume) -> names.put((long) volume.settings.id(), name));
        return new GatewayAccounts(
                gatewayName,
                (long) clock.toWallClock(clock.now()),
                names,
                copy.listVersions(),
                StoredAccounts.of(copy.account()));
    }
}
