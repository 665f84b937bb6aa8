package sagepulley.discovery.http;

import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.DoubleSupplier;
import sagepulley.discovery.http.DiscoveryRequest.Role;
import sagepulley.membership.EndpointPollPolicy;
import sagepulley.transport.KernelReceiveTime;
import sagepulley.transport.MemoryAccount;
import sagepulley.transport.Transport;

/**
 * Requests endpoint lists from discovery through one watch and occasional polls of the complete
 * list.
 *
 * <p>The client does not repeat requests on its own, and reports each failure once. An overdue
 * request counts as failed but stays open beside its successor, because a slow discovery may still
 * respond. Owns all open requests. Runs on the event loop; times are in milliseconds on the
 * monotonic clock.
 */
public final class DiscoveryClient implements DiscoveryRequestListener {
    /** Receives lists and failures on the event loop. */
    public interface Listener {
        /** Called for an endpoint list or for changes to it. */
        void onEndpointList(EndpointListUpdate update);

        /** Called when the lists reported so far are known to be complete as of the given time. */
        void onListConfirmed(double asOf);

        /**
         * Called when a request started at the given time was refused, because no process listens
         * at the address.
         */
        void onDiscoveryUnreachable(double at);

        /** Called when a request failed or is overdue, or when the watch has ended. */
        void onPollFailed(String reason);
    }

    private final Transport transport;
    private final Listener listener;
    private final MemoryAccount memory;
    private final DoubleSupplier clock;
    private final DiscoveryTimeouts timeouts;
    private final KernelReceiveTime receiveTime = new KernelReceiveTime();
    private SocketAddress address;
    private long revision;
    private DiscoveryRequest watch;
    private DiscoveryRequest poll;

    /** Requests that stay open beside the watch, oldest first. */
    private final Deque<DiscoveryRequest> overdueRequests = new ArrayDeque<>();

    private int lastRequestNumber;

    /**
     * Creates a client with the default timeouts and the revision of the list known so far.
     *
     * @param maxListBytes maximum memory of all lists received in part
     */
    public DiscoveryClient(
            Transport transport,
            SocketAddress address,
            long revision,
            Listener listener,
            long maxListBytes,
            DoubleSupplier clock) {
        this(
                transport,
                address,
                revision,
                listener,
                maxListBytes,
                clock,
                DiscoveryTimeouts.DEFAULT);
    }

    /**
     * Creates a client with the given timeouts and the revision of the list known so far.
     *
     * @param maxListBytes maximum memory of all lists received in part
     */
    public DiscoveryClient(
            Transport transport,
            SocketAddress address,
            long revision,
            Listener listener,
            long maxListBytes,
            DoubleSupplier clock,
            DiscoveryTimeouts timeouts) {
        this.transport = transport;
        this.address = address;
        this.revision = revision;
        this.listener = listener;
        this.memory = new MemoryAccount(maxListBytes);
        this.clock = clock;
        this.timeouts = timeouts;
    }

    /** Returns the revision of the last reported list. */
    public long revision() {
        return revision;
    }

    /** Returns the address that requests are sent to. */
    public SocketAddress address() {
        return address;
    }

    /** Returns whether a watch is open that has received a list. */
    public boolean isWatching() {
        return watch != null && watch.isAnswered();
    }

    /** Opens a watch. An existing watch stays open until one of the two has received a list. */
    public void openWatch() {
        if (watch != null) {
            markOverdue(watch);
        }
        watch = newRequest(true);
        watch.open();
    }

    /** Requests the complete list once, and closes a poll that is still in flight. */
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
                memory,
                this);
    }

    /**
     * Sends requests to a new address from now on.
     *
     * <p>A watch that has received a list stays open at the former address until a watch at the new
     * address has received one. Its lists are still reported, but not confirmed, and its end is not
     * a failure.
     *
     * @return whether the address has changed
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

    /** Removes and returns an open watch that has received a list; null if there is none. */
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

    /** Closes all requests without reporting failures. */
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

    /**
     * Makes a request that has received a list or a heartbeat the watch. Closes the previous watch
     * and all overdue requests.
     */
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

    // ---- request events ----

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
        // A lower revision in the first list of a request means that discovery has restarted,
        // unless a newer list was reported after the request was opened.
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

    /**
     * Confirms the list as of the close, because discovery closes its watches when it shuts down.
     */
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
