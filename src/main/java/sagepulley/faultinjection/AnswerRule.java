package sagepulley.faultinjection;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The rules on answers and attempts, judged from what passed on the sockets: each request that a
 * gateway took gets one final answer in time, with the value that a store made for it; what may not
 * run twice is sent once; a store is told no later deadline than the client's; and nothing begins
 * for a client that has gone.
 */
final class AnswerRule {
    private static final long LATE_MS = 500;
    private static final long TOLD_DEADLINE_MS = 150;
    private static final long AFTER_LEAVING_MS = 100;

    /** What a busy machine adds between two of this program's own threads. */
    private static final long SLACK_MS = 150;

    /** A request that comes so long after SIGTERM is lost where SIGKILL finds it unanswered. */
    private static final long STOP_NOTICE_MS = 700;

    /**
     * When a gateway process was told to end, when SIGKILL was sent and when it was gone; one that
     * was not told has 0 for the first.
     */
    record Ending(int gateway, long toldAt, long killedAt, long goneAt) {
        boolean isPlanned() {
            return toldAt != 0;
        }
    }

    private final List<Ending> endings;
    private final boolean crowded;

    /** Where idle clients fill the descriptors, a new connection may be shut unread. */
    AnswerRule(List<Ending> endings, boolean crowded) {
        this.endings = endings;
        this.crowded = crowded;
    }

    /** Sentences for what broke the rules. */
    List<String> broken(List<StoreServer.Arrival> arrivals, List<Request> requests) {
        Map<String, List<StoreServer.Arrival>> attempts = new HashMap<>();
        for (StoreServer.Arrival arrival : arrivals) {
            attempts.computeIfAbsent(arrival.requestId(), any -> new ArrayList<>()).add(arrival);
        }
        List<String> broken = new ArrayList<>();
        for (Request request : requests) {
            List<StoreServer.Arrival> own = attempts.getOrDefault(request.id, List.of());
            checkEnd(request, own, broken);
            for (StoreServer.Arrival arrival : own) {
                checkAttempt(request, arrival, broken);
            }
            if (!request.repeatable && own.size() > 1) {
                broken.add(request + " may not run twice, and was sent " + own.size() + " times");
            }
        }
        return broken;
    }

    private void checkEnd(
            Request request, List<StoreServer.Arrival> attempts, List<String> broken) {
        if (request.end == null) {
            return; // the run ended first
        }
        switch (request.end) {
            case WRONG_VALUE -> broken.add(request + " got a value that no store made for it");
            case SILENT -> {
                if (killedWhileOpen(request) == null) {
                    broken.add(
                            request
                                    + " got no answer in "
                                    + ms(request.endedAt - request.sentAt)
                                    + " ms");
                }
            }
            case CLOSED -> {
                if (isLost(request, attempts)) {
                    broken.add(
                            request
                                    + " was closed without an answer "
                                    + ms(request.endedAt - request.sentAt)
                                    + " ms after it was sent, number "
                                    + request.onConnection
                                    + " on its connection, attempts "
                                    + attempts.size()
                                    + endingText(request));
                }
            }
            case SERVED, REFUSED, FAILED -> {
                long late = ms(request.endedAt - request.sentAt) - request.deadlineMs;
                if (late > LATE_MS + SLACK_MS) {
                    broken.add(request + " was answered " + late + " ms after its deadline");
                }
            }
            case LEFT -> {}
        }
    }

    /**
     * On a connection that was at rest it may have crossed the end unread; then its client sends it
     * once more.
     */
    private boolean isLost(Request request, List<StoreServer.Arrival> attempts) {
        Ending ending = killedWhileOpen(request);
        if (ending != null && !ending.isPlanned()) {
            return false;
        }
        if (ending != null
                && request.sentAt - ending.toldAt()
                        < TimeUnit.MILLISECONDS.toNanos(STOP_NOTICE_MS)) {
            return false;
        }
        return (request.onConnection == 0 && !crowded) || !attempts.isEmpty() || ending != null;
    }

    /** How its gateway ended by SIGKILL while it was open; null if it did not. */
    private Ending killedWhileOpen(Request request) {
        return endings.stream()
                .filter(
                        ending ->
                                ending.gateway() == request.gateway
                                        && ending.goneAt() >= request.sentAt
                                        && ending.killedAt() <= request.endedAt)
                .findFirst()
                .orElse(null);
    }

    private String endingText(Request request) {
        return endings.stream()
                .filter(
                        ending ->
                                ending.gateway() == request.gateway
                                        && ending.isPlanned()
                                        && ending.toldAt() <= request.endedAt
                                        && ending.killedAt() + TimeUnit.SECONDS.toNanos(1)
                                                >= request.sentAt)
                .map(
                        ending ->
                                ", sent "
                                        + ms(request.sentAt - ending.toldAt())
                                        + " ms after SIGTERM")
                .findFirst()
                .orElse("");
    }

    private static void checkAttempt(
            Request request, StoreServer.Arrival arrival, List<String> broken) {
        long left = request.deadlineMs - ms(arrival.firstByteAt() - request.sentAt);
        if (arrival.deadlineMs() > left + TOLD_DEADLINE_MS + SLACK_MS) {
            broken.add(
                    request
                            + " told a store "
                            + arrival.deadlineMs()
                            + " ms with "
                            + left
                            + " ms left");
        }
        if (request.end == Request.End.LEFT
                && ms(arrival.firstByteAt() - request.endedAt) > AFTER_LEAVING_MS + SLACK_MS) {
            broken.add(
                    request
                            + " was sent "
                            + ms(arrival.firstByteAt() - request.endedAt)
                            + " ms after its client had gone");
        }
    }

    private static long ms(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }
}
