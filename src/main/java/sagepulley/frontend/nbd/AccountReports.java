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
 * Provides reports and copies of the accounts for operators and for storage on disk. Its methods
 * may be called from any thread; the accounts are read on the engine's event loop only, and copied
 * in small steps.
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
     * @param listVersions supplies the arrival times of the latest endpoint list versions, in
     *     wall-clock milliseconds; called on the loop
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

    /**
     * A copy of the accounts, with the endpoint list versions at the time when it was completed.
     */
    private record AccountCopy(LatencyAccount account, Map<Long, Double> listVersions) {}

    /**
     * Returns the report of each volume for the last {@code millis} milliseconds, by volume name.
     */
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

    /** Returns the totals since the start. */
    CompletableFuture<Totals> totals() {
        return CompletableFuture.supplyAsync(accounts::totals, loop);
    }

    /**
     * Returns the accounts in the form that is written to disk, assembled off the event loop from a
     * copy.
     */
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
