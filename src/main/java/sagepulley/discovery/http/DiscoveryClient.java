package sagepulley.discovery.http;

import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.DoubleSupplier;
import sagepulley.discovery.http.DiscoveryRequest.Role;
import sagepulley.discovery.http.DiscoveryRequest.Timeouts;
import sagepulley.membership.EndpointPollPolicy;
import sagepulley.transport.KernelReceiveTime;
import sagepulley.transport.Transport;

/**
 * The calls to discovery: one watch, and now and then the whole list. It asks nothing again by
 * itself; each call or watch that fails is told once. A call that is overdue counts as failed, but
 * is kept open beside the next one: discovery may be slow, and what it still answers is taken. All
 * on one loop.
 */
public final class DiscoveryClient implements DiscoveryRequest.Listener {
    /** Told what discovery says, on the loop. */
    public interface Listener {
        void onEndpointList(EndpointListUpdate listing);

        /** What has been listed by now was all that discovery had at this time. */
        void onListConfirmed(double asOf);

        /**
         * A call that began at this time was refused: no process listens where discovery should be.
         */
        void onDiscoveryUnreachable(double at);

        /** A call failed or is overdue, or the watch has ended. */
        void onPollFailed(String why);
    }

    private final Transport transport;
    private final Listener listener;
    private final DoubleSupplier clock;
    private final Timeouts timeouts;
    private final KernelReceiveTime receiveTime = new KernelReceiveTime();
    private SocketAddress address;
    private long revision;
    private DiscoveryRequest watch;
    private DiscoveryRequest poll;

    /** Calls that are kept open beside the watch, the oldest first. */
    private final Deque<DiscoveryRequest> overdueRequests = new ArrayDeque<>();

    private int requestCount;

    public DiscoveryClient(
            Transport transport,
            SocketAddress address,
            long revision,
            Listener listener,
            DoubleSupplier clock) {
        this(transport, address, revision, listener, clock, Timeouts.DEFAULT);
    }

    /** The same with another patience. */
    public DiscoveryClient(
            Transport transport,
            SocketAddress address,
            long revision,
            Listener listener,
            DoubleSupplier clock,
            Timeouts timeouts) {
        this.transport = transport;
        this.address = address;
        this.revision = revision;
        this.listener = listener;
        this.clock = clock;
        this.timeouts = timeouts;
    }

    public long revision() {
        return revision;
    }

    public SocketAddress address() {
        return address;
    }

    public boolean isWatching() {
        return watch != null && watch.isAnswered();
    }

    /**
     * Opens a watch in place of one that stands; that one goes on until one of the two has told a
     * list.
     */
    public void openWatch() {
        if (watch != null) {
            keepOpen(watch);
        }
        watch = newRequest(true);
        watch.open();
    }

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
                address,
                ++requestCount,
                isWatch,
                revision,
                timeouts,
                receiveTime,
                clock,
                this);
    }

    /**
     * Discovery has another address from now on. What the old one still tells on its watch counts
     * as told and is taken, until the new one has told a list; it confirms nothing any more, and
     * its end is no failure. Whether it moved.
     */
    public boolean moveTo(SocketAddress fresh) {
        if (fresh.equals(address)) {
            return false;
        }
        address = fresh;
        DiscoveryRequest former = takeAnswered();
        close();
        if (former != null) {
            former.setRole(Role.FORMER);
            overdueRequests.add(former);
        }
        return true;
    }

    /** The watch that last told something, taken out of the others; null if none has. */
    private DiscoveryRequest takeAnswered() {
        if (isWatching()) {
            DiscoveryRequest taken = watch;
            watch = null;
            return taken;
        }
        DiscoveryRequest taken =
                overdueRequests.stream()
                        .filter(DiscoveryRequest::isAnswered)
                        .findFirst()
                        .orElse(null);
        overdueRequests.remove(taken);
        return taken;
    }

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

    // ---- overdue calls ----

    private void keepOpen(DiscoveryRequest request) {
        request.setRole(Role.OVERDUE);
        overdueRequests.add(request);
        if (overdueRequests.size() > EndpointPollPolicy.MAX_OVERDUE) {
            DiscoveryRequest oldest = overdueRequests.peekFirst();
            DiscoveryRequest dropped =
                    EndpointPollPolicy.shouldDropOldest(
                                    oldest.role() == Role.FORMER,
                                    oldest.openMillis(),
                                    oldest.idleMillis())
                            ? oldest
                            : overdueRequests.peekLast();
            overdueRequests.remove(dropped);
            dropped.close("overdue");
        }
    }

    /** A call has told a list, or lives on: it is the watch, and all others are needless. */
    private void useAsWatch(DiscoveryRequest request) {
        if (watch != null && watch != request) {
            watch.close("another call was answered");
        }
        overdueRequests.remove(request);
        overdueRequests.forEach(each -> each.close("another call was answered"));
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

    // ---- what calls tell ----

    @Override
    public void onRefused(DiscoveryRequest request) {
        listener.onDiscoveryUnreachable(request.startedAt());
    }

    @Override
    public void onEndpointList(DiscoveryRequest request, EndpointListUpdate update, double asOf) {
        boolean isFormerAddress = request.role() == Role.FORMER;
        if (request.isWatch() && !isFormerAddress) {
            useAsWatch(request);
        }
        // Lower numbers come from a discovery that started anew, which a new call's first list

        // tells; or from an answer that something newer has overtaken.

        boolean startedAnew = request.hasOneList() && request.afterRevision() == revision;
        if (update.revision() < revision && !startedAnew) {
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
        if (request.role() == Role.FORMER) {
            return;
        }
        if (request.isWatch()) {
            useAsWatch(request);
        }
        listener.onListConfirmed(asOf);
    }

    /**
     * Discovery ends its watches when it goes down, and it may be down for long: up to then the
     * list was current.
     */
    @Override
    public void onCleanClose(DiscoveryRequest request, double asOf) {
        if (request == watch) {
            listener.onListConfirmed(asOf);
        }
    }

    @Override
    public void onOverdue(DiscoveryRequest request, String why) {
        if (request.role() != Role.CURRENT) {
            return;
        }
        remove(request);
        keepOpen(request);
        listener.onPollFailed(why);
    }

    @Override
    public void onFailed(DiscoveryRequest request, String why) {
        boolean counts = request.role() == Role.CURRENT;
        remove(request);
        if (counts) {
            listener.onPollFailed(why);
        }
    }

    @Override
    public void onCompleted(DiscoveryRequest request) {
        remove(request);
    }
}
