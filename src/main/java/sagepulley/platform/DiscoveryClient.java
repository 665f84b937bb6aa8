package sagepulley.platform;

import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.DoubleSupplier;
import sagepulley.membership.EndpointPollPolicy;
import sagepulley.platform.DiscoveryRequest.Patience;
import sagepulley.platform.DiscoveryRequest.Role;

/**
 * The calls to discovery: one watch, and now and then the whole list. It asks nothing again by
 * itself; each call or watch that fails is told once. A call that is overdue counts as failed, but
 * is kept open beside the next one: discovery may be slow, and what it still answers is taken. All
 * on one loop.
 */
final class DiscoveryClient implements DiscoveryRequest.Owner {
    /** Told what discovery says, on the loop. */
    interface Owner {
        void listed(EndpointListUpdate listing);

        /** What has been listed by now was all that discovery had at this time. */
        void listConfirmed(double asOf);

        /**
         * A call that began at this time was refused: no process listens where discovery should be.
         */
        void discoveryUnreachable(double at);

        /** A call failed or is overdue, or the watch has ended. */
        void listFailed(String why);
    }

    private final Transport transport;
    private final Owner owner;
    private final DoubleSupplier clock;
    private final Patience patience;
    private final KernelReceiveTime arrival = new KernelReceiveTime();
    private SocketAddress address;
    private long revision;
    private DiscoveryRequest watch;
    private DiscoveryRequest fetch;

    /** Calls that are kept open beside the watch, the oldest first. */
    private final Deque<DiscoveryRequest> overdue = new ArrayDeque<>();

    private int calls;

    DiscoveryClient(
            Transport transport,
            SocketAddress address,
            long revision,
            Owner owner,
            DoubleSupplier clock) {
        this(transport, address, revision, owner, clock, Patience.USUAL);
    }

    /** The same with another patience. */
    DiscoveryClient(
            Transport transport,
            SocketAddress address,
            long revision,
            Owner owner,
            DoubleSupplier clock,
            Patience patience) {
        this.transport = transport;
        this.address = address;
        this.revision = revision;
        this.owner = owner;
        this.clock = clock;
        this.patience = patience;
    }

    long revision() {
        return revision;
    }

    SocketAddress address() {
        return address;
    }

    boolean isWatching() {
        return watch != null && watch.isAnswered();
    }

    /**
     * Opens a watch in place of one that stands; that one goes on until one of the two has told a
     * list.
     */
    void subscribe() {
        if (watch != null) {
            keepOpen(watch);
        }
        watch = call(true);
        watch.open();
    }

    void fetch() {
        if (fetch != null) {
            fetch.drop("replaced");
        }
        fetch = call(false);
        fetch.open();
    }

    private DiscoveryRequest call(boolean watches) {
        return new DiscoveryRequest(
                transport, address, ++calls, watches, revision, patience, arrival, clock, this);
    }

    /**
     * Discovery has another address from now on. What the old one still tells on its watch counts
     * as told and is taken, until the new one has told a list; it confirms nothing any more, and
     * its end is no failure. Whether it moved.
     */
    boolean moveTo(SocketAddress fresh) {
        if (fresh.equals(address)) {
            return false;
        }
        address = fresh;
        DiscoveryRequest former = takeAnswered();
        close();
        if (former != null) {
            former.become(Role.FORMER);
            overdue.add(former);
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
                overdue.stream().filter(DiscoveryRequest::isAnswered).findFirst().orElse(null);
        overdue.remove(taken);
        return taken;
    }

    void close() {
        overdue.forEach(call -> call.drop("closed"));
        overdue.clear();
        if (watch != null) {
            watch.drop("closed");
            watch = null;
        }
        if (fetch != null) {
            fetch.drop("closed");
            fetch = null;
        }
    }

    // ---- overdue calls ----

    private void keepOpen(DiscoveryRequest call) {
        call.become(Role.OVERDUE);
        overdue.add(call);
        if (overdue.size() > EndpointPollPolicy.MAX_OVERDUE) {
            DiscoveryRequest oldest = overdue.peekFirst();
            DiscoveryRequest dropped =
                    EndpointPollPolicy.shouldDropOldest(
                                    oldest.role() == Role.FORMER,
                                    oldest.openFor(),
                                    oldest.quietFor())
                            ? oldest
                            : overdue.peekLast();
            overdue.remove(dropped);
            dropped.drop("overdue");
        }
    }

    /** A call has told a list, or lives on: it is the watch, and all others are needless. */
    private void relyOn(DiscoveryRequest call) {
        if (watch != null && watch != call) {
            watch.drop("another call was answered");
        }
        overdue.remove(call);
        overdue.forEach(each -> each.drop("another call was answered"));
        overdue.clear();
        call.become(Role.CURRENT);
        watch = call;
    }

    private void remove(DiscoveryRequest call) {
        if (watch == call) {
            watch = null;
        }
        if (fetch == call) {
            fetch = null;
        }
        overdue.remove(call);
    }

    // ---- what calls tell ----

    @Override
    public void refused(DiscoveryRequest call) {
        owner.discoveryUnreachable(call.beganAt());
    }

    @Override
    public void listed(DiscoveryRequest call, EndpointListUpdate listing, double asOf) {
        boolean isFormer = call.role() == Role.FORMER;
        if (call.watches() && !isFormer) {
            relyOn(call);
        }
        // Lower numbers come from a discovery that started anew, which a new call's first list
        // tells; or from an answer that something newer has overtaken.
        boolean startedAnew = call.hasOneList() && call.after() == revision;
        if (listing.revision() < revision && !startedAnew) {
            return;
        }
        revision = listing.revision();
        owner.listed(listing);
        if (!isFormer) {
            owner.listConfirmed(asOf);
        }
    }

    @Override
    public void livesOn(DiscoveryRequest call, double asOf) {
        if (call.role() == Role.FORMER) {
            return;
        }
        if (call.watches()) {
            relyOn(call);
        }
        owner.listConfirmed(asOf);
    }

    /**
     * Discovery ends its watches when it goes down, and it may be down for long: up to then the
     * list was current.
     */
    @Override
    public void endsAtRest(DiscoveryRequest call, double asOf) {
        if (call == watch) {
            owner.listConfirmed(asOf);
        }
    }

    @Override
    public void overdue(DiscoveryRequest call, String why) {
        if (call.role() != Role.CURRENT) {
            return;
        }
        remove(call);
        keepOpen(call);
        owner.listFailed(why);
    }

    @Override
    public void failed(DiscoveryRequest call, String why) {
        boolean counts = call.role() == Role.CURRENT;
        remove(call);
        if (counts) {
            owner.listFailed(why);
        }
    }

    @Override
    public void answered(DiscoveryRequest call) {
        remove(call);
    }
}
