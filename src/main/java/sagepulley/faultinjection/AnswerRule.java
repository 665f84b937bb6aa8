package sagepulley.faultinjection;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Checks answers and attempts against the traffic seen on the sockets.
 *
 * <p>Each request that a gateway accepted gets one final answer in time, with the value that a
 * store made for it. A request that is not idempotent is sent at most once, a store gets no later
 * deadline than the client's, and no attempt begins after its client has disconnected.
 */
final class AnswerRule {
    private static final long MAX_LATE_MILLIS = 500;
    private static final long MAX_EXTRA_DEADLINE_MILLIS = 150;
    private static final long MAX_AFTER_DISCONNECT_MILLIS = 100;

    /** Allowance for scheduling delays between two threads of this program on a busy machine. */
    private static final long SLACK_MILLIS = 150;

    /** A request sent at least this long after SIGTERM is lost if SIGKILL finds it unanswered. */
    private static final long MIN_STOP_NOTICE_MILLIS = 700;

    /**
     * Times at which a gateway process was sent SIGTERM and SIGKILL and at which it had exited;
     * termSentAt is 0 if it was not sent SIGTERM.
     */
    record Termination(int gateway, long termSentAt, long killSentAt, long exitedAt) {
        boolean isPlanned() {
            return termSentAt != 0;
        }
    }

    private final List<Termination> terminations;
    private final boolean descriptorsExhausted;

    /**
     * Creates the rule.
     *
     * @param descriptorsExhausted whether idle clients may have used up the descriptors, so that a
     *     new connection may be closed without being read
     */
    AnswerRule(List<Termination> terminations, boolean descriptorsExhausted) {
        this.terminations = terminations;
        this.descriptorsExhausted = descriptorsExhausted;
    }

    /** Returns a description of each violation. */
    List<String> violations(List<StoreServer.Arrival> arrivals, List<Request> requests) {
        Map<String, List<StoreServer.Arrival>> attempts = new HashMap<>();
        for (StoreServer.Arrival arrival : arrivals) {
            attempts.computeIfAbsent(arrival.requestId(), any -> new ArrayList<>()).add(arrival);
        }
        List<String> violations = new ArrayList<>();
        for (Request request : requests) {
            List<StoreServer.Arrival> requestAttempts =
                    attempts.getOrDefault(request.id, List.of());
            checkEnd(request, requestAttempts, violations);
            for (StoreServer.Arrival arrival : requestAttempts) {
                checkAttempt(request, arrival, violations);
            }
            if (!request.idempotent && requestAttempts.size() > 1) {
                violations.add(
                        request
                                + " is not idempotent but was sent "
                                + requestAttempts.size()
                                + " times");
            }
        }
        return violations;
    }

    private void checkEnd(
            Request request, List<StoreServer.Arrival> attempts, List<String> violations) {
        if (request.end == null) {
            return; // the run ended before the request
        }
        switch (request.end) {
            case WRONG_VALUE -> violations.add(request + " got a value that no store made for it");
            case SILENT -> {
                if (killedWhileOpen(request) == null) {
                    violations.add(
                            request
                                    + " got no answer in "
                                    + toMillis(request.endedAt - request.sentAt)
                                    + " ms");
                }
            }
            case CLOSED -> {
                if (isLost(request, attempts)) {
                    violations.add(
                            request
                                    + " was closed without an answer "
                                    + toMillis(request.endedAt - request.sentAt)
                                    + " ms after it was sent, number "
                                    + request.answeredBeforeOnConnection
                                    + " on its connection, attempts "
                                    + attempts.size()
                                    + terminationText(request));
                }
            }
            case SERVED, REJECTED, FAILED -> {
                long lateMillis =
                        toMillis(request.endedAt - request.sentAt) - request.deadlineMillis;
                if (lateMillis > MAX_LATE_MILLIS + SLACK_MILLIS) {
                    violations.add(
                            request + " was answered " + lateMillis + " ms after its deadline");
                }
            }
            case CANCELLED -> {}
        }
    }

    /**
     * Returns whether a request whose connection was closed without an answer counts as lost.
     *
     * <p>If SIGKILL ended its gateway while it was open, it counts only if it was sent at least
     * MIN_STOP_NOTICE_MILLIS after SIGTERM. Otherwise it counts if an attempt was sent for it, or
     * if it was the first on its connection and descriptors were not exhausted; a later one may
     * have crossed the close unread, in which case a client may send it again.
     */
    private boolean isLost(Request request, List<StoreServer.Arrival> attempts) {
        Termination termination = killedWhileOpen(request);
        if (termination != null && !termination.isPlanned()) {
            return false;
        }
        if (termination != null
                && request.sentAt - termination.termSentAt()
                        < TimeUnit.MILLISECONDS.toNanos(MIN_STOP_NOTICE_MILLIS)) {
            return false;
        }
        return (request.answeredBeforeOnConnection == 0 && !descriptorsExhausted)
                || !attempts.isEmpty()
                || termination != null;
    }

    /** Returns the termination of the request's gateway while the request was open, or null. */
    private Termination killedWhileOpen(Request request) {
        return terminations.stream()
                .filter(
                        termination ->
                                termination.gateway() == request.gateway
                                        && termination.exitedAt() >= request.sentAt
                                        && termination.killSentAt() <= request.endedAt)
                .findFirst()
                .orElse(null);
    }

    private String terminationText(Request request) {
        return terminations.stream()
                .filter(
                        termination ->
                                termination.gateway() == request.gateway
                                        && termination.isPlanned()
                                        && termination.termSentAt() <= request.endedAt
                                        && termination.killSentAt() + TimeUnit.SECONDS.toNanos(1)
                                                >= request.sentAt)
                .map(
                        termination ->
                                ", sent "
                                        + toMillis(request.sentAt - termination.termSentAt())
                                        + " ms after SIGTERM")
                .findFirst()
                .orElse("");
    }

    private static void checkAttempt(
            Request request, StoreServer.Arrival arrival, List<String> violations) {
        long remainingMillis =
                request.deadlineMillis - toMillis(arrival.arrivedAt() - request.sentAt);
        if (arrival.deadlineMillis() > remainingMillis + MAX_EXTRA_DEADLINE_MILLIS + SLACK_MILLIS) {
            violations.add(
                    request
                            + " gave a store a deadline of "
                            + arrival.deadlineMillis()
                            + " ms with "
                            + remainingMillis
                            + " ms left");
        }
        if (request.end == Request.End.CANCELLED
                && toMillis(arrival.arrivedAt() - request.endedAt)
                        > MAX_AFTER_DISCONNECT_MILLIS + SLACK_MILLIS) {
            violations.add(
                    request
                            + " was sent "
                            + toMillis(arrival.arrivedAt() - request.endedAt)
                            + " ms after its client disconnected");
        }
    }

    private static long toMillis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }
}
