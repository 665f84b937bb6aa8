package sagepulley.discovery.http;

import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.DoubleSupplier;
import sagepulley.discovery.http.DiscoveryRequest.Role;
import sagepulley.membership.EndpointPollPolicy;
import sagepulley.transport.KernelReceiveTime;
import sagepulley.transport.Transport;

/**
 * Requests to discovery: one watch, and now and then a poll for the complete list. Repeats nothing
 * by itself; each failure is reported once. A request that is overdue counts as failed, but is kept
 * open beside the next one: discovery may be slow, and what it still sends is taken. Owns all open
 * requests. Runs on the event loop; times are milliseconds on the monotonic clock.
 */
public final class DiscoveryClient implements DiscoveryRequestListener {
    /** What discovery sends, reported on the event loop. */
    public interface Listener {
        /** An endpoint list, or changes of it. */
        void onEndpointList(EndpointListUpdate update);

        /** The lists reported by now are all that discovery had at this time. */
        void onListConfirmed(double asOf);

        /** A request begun at this time was refused: no process listens at the address. */
        void onDiscoveryUnreachable(double at);

        /** A request failed or is overdue, or the watch has ended. */
        void onPollFailed(String reason);
    }

    private final Transport transport;
    private final Listener listener;
    private final DoubleSupplier clock;
    private final DiscoveryTimeouts timeouts;
    private final KernelReceiveTime receiveTime = new KernelReceiveTime();
    private SocketAddress address;
    private long revision;
    private DiscoveryRequest watch;
    private DiscoveryRequest poll;

    /** Requests that are kept open beside the watch, the oldest first. */
    private final Deque<DiscoveryRequest> overdueRequests = new ArrayDeque<>();

    private int lastRequestNumber;

    /** A client with the usual timeouts; the revision is that of the list known so far. */
    public DiscoveryClient(
            Transport transport,
            SocketAddress address,
            long revision,
            Listener listener,
            DoubleSupplier clock) {
        this(transport, address, revision, listener, clock, DiscoveryTimeouts.DEFAULT);
    }

    /** A client with other timeouts. */
    /** A client with the usual timeouts; the revision is that of the list known so far. */
    public DiscoveryClient(
            Transport transport,
            SocketAddress address,
            long revision,
            Listener listener,
            DoubleSupplier clock,
            DiscoveryTimeouts timeouts) {
        this.transport = transport;
        this.address = address;
        this.revision = revision;
        this.listener = listener;
        this.clock = clock;
        this.timeouts = timeouts;
    }

    /** The revision of the last list that was reported. */
    public long revision() {
        return revision;
    }

    /** Where discovery is requested. */
    public SocketAddress address() {
        return address;
    }

    /** Whether a watch is open that has brought a list. */
    public boolean isWatching() {
        return watch != null && watch.isAnswered();
    }

    /** Opens a watch; one that is open goes on until one of the two has brought a list. */
    public void openWatch() {
        if (watch != null) {
            markOverdue(watch);
        }
        watch = newRequest(true);
        watch.open();
    }

    /** Requests the complete list once, in place of a poll that is under way. */
    public void poll() {
        if (poll != null) {
            poll.close("replaced");
        }
        poll = newRequest(false);
        poll.open();
    }

    private DiscoveryRequest newRequest(boolean isWatch) {
        return new DiscoveryRequest(
                transport,
                new EndpointListQuery(address, isWatch, revision),
                ++lastRequestNumber,
                timeouts,
                receiveTime,
                clock,
                this);
    }

    /**
     * Discovery has another address from now on. What the former one still sends on its watch is
     * taken until the new one has sent a list; it confirms nothing any more, and its end is no
     * failure.
     *
     * @return whether the address is another one than before
     */
    public boolean moveTo(SocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return false;
        }
        address = newAddress;
        DiscoveryRequest formerWatch = removeAnsweredWatch();
        close();
        if (formerWatch != null) {
            formerWatch.setRole(Role.FORMER_ADDRESS);
            overdueRequests.add(formerWatch);
        }
        return true;
    }

    /** Removes the watch that last brought a list from the others; null if none has. */
    private DiscoveryRequest removeAnsweredWatch() {
        if (isWatching()) {
            DiscoveryRequest answered = watch;
            watch = null;
            return answered;
        }
        DiscoveryRequest answered =
                overdueRequests.stream()
                        .filter(DiscoveryRequest::isAnswered)
                        .findFirst()
                        .orElse(null);
        overdueRequests.remove(answered);
        return answered;
    }

    /** Closes all requests; none is reported as failed. */
    public void close() {
        overdueRequests.forEach(request -> request.close("closed"));
        overdueRequests.clear();
        if (watch != null) {
            watch.close("closed");
            watch = null;
        }
        if (poll != null) {
            poll.close("closed");
            poll = null;
        }
    }

    // ---- overdue requests ----

    private void markOverdue(DiscoveryRequest request) {
        request.setRole(Role.OVERDUE);
        overdueRequests.add(request);
        if (overdueRequests.size() > EndpointPollPolicy.MAX_OVERDUE_POLLS) {
            DiscoveryRequest oldest = overdueRequests.peekFirst();
            DiscoveryRequest dropped =
                    EndpointPollPolicy.shouldDropOldest(
                                    oldest.role() == Role.FORMER_ADDRESS,
                                    oldest.openMillis(),
                                    oldest.idleMillis())
                            ? oldest
                            : overdueRequests.peekLast();
            overdueRequests.remove(dropped);
            dropped.close("overdue");
        }
    }

    /** A request has sent a list or a heartbeat: it becomes the watch, and all others close. */
    private void promoteToWatch(DiscoveryRequest request) {
        if (watch != null && watch != request) {
            watch.close("another request was answered");
        }
        overdueRequests.remove(request);
        overdueRequests.forEach(each -> each.close("another request was answered"));
        overdueRequests.clear();
        request.setRole(Role.CURRENT);
        watch = request;
    }

    private void remove(DiscoveryRequest request) {
        if (watch == request) {
            watch = null;
        }
        if (poll == request) {
            poll = null;
        }
        overdueRequests.remove(request);
    }

    // ---- what requests report ----

    @Override
    public void onRefused(DiscoveryRequest request) {
        listener.onDiscoveryUnreachable(request.startedAt());
    }

    @Override
    public void onEndpointList(DiscoveryRequest request, EndpointListUpdate update, double asOf) {
        boolean isFormerAddress = request.role() == Role.FORMER_ADDRESS;
        if (request.isWatch() && !isFormerAddress) {
            promoteToWatch(request);
        }
        // A lower revision comes from a discovery that has restarted, if it is that of a new

        // request's first list; else from a response that a newer list has overtaken.

        boolean discoveryRestarted = request.hasOneList() && request.afterRevision() == revision;
        if (update.revision() < revision && !discoveryRestarted) {
            return;
        }
        revision = update.revision();
        listener.onEndpointList(update);
        if (!isFormerAddress) {
            listener.onListConfirmed(asOf);
        }
    }

    @Override
    public void onHeartbeat(DiscoveryRequest request, double asOf) {
        if (request.role() == Role.FORMER_ADDRESS) {
            return;
        }
        if (request.isWatch()) {
            promoteToWatch(request);
        }
        listener.onListConfirmed(asOf);
    }

    /** Discovery closes its watches when it goes down: up to then the list was current. */
    @Override
    public void onCleanClose(DiscoveryRequest request, double asOf) {
        if (request == watch) {
            listener.onListConfirmed(asOf);
        }
    }

    @Override
    public void onOverdue(DiscoveryRequest request, String reason) {
        if (request.role() != Role.CURRENT) {
            return;
        }
        remove(request);
        markOverdue(request);
        listener.onPollFailed(reason);
    }

    @Override
    public void onFailed(DiscoveryRequest request, String reason) {
        boolean isCurrent = request.role() == Role.CURRENT;
        remove(request);
        if (isCurrent) {
            listener.onPollFailed(reason);
        }
    }

    @Override
    public void onCompleted(DiscoveryRequest request) {
        remove(request);
    }
}
