package sagepulley.scenario;

import java.util.ArrayList;
import java.util.List;
import sagepulley.discovery.directory.DirectoryMessages;
import sagepulley.standin.TrafficRecorder;
import sagepulley.upstream.frame.StoreMessages;

/**
 * What was noted at the sockets of nodes, directory and clients; the gateways' own word is not
 * asked.
 */
public final class SocketEventLog implements TrafficRecorder {
    /** An attempt at a node. */
    public record Came(int node, long gateway, StoreMessages.Send send, long at) {}

    /** An operation's work began. */
    public record Ran(int node, long gateway, StoreMessages.Send send, long at) {}

    /** An attempt's answer, which may have been lost by a fault. */
    public record Answered(
            int node,
            long gateway,
            long mark,
            int number,
            StoreMessages.Code code,
            boolean lost,
            long at) {}

    /** An attempt that its gateway gave up, as the node heard it. */
    public record CalledOff(int node, long gateway, long mark, int number, long at) {}

    /** A node's start, cold if it has a capacity in units a second. */
    public record Started(int node, double unitsPerSecond, long at) {}

    /** A node ended without notice. */
    public record Fell(int node, long at) {}

    /** What a gateway was told of the list. */
    public record Told(
            long gateway, boolean whole, List<DirectoryMessages.EndpointLine> lines, long at) {}

    /** A gateway's life, from its opening to its kill. */
    public static final class Life {
        public final int index;
        public final long gateway;
        public final long from;
        public volatile long until = Long.MAX_VALUE;

        Life(int index, long gateway, long from) {
            this.index = index;
            this.gateway = gateway;
            this.from = from;
        }
    }

    /** A client's request, and what came of it; replies count its final answers. */
    public static final class Asked {
        public final long gateway;
        public final int volume;
        public final StoreMessages.Kind kind;
        public final int band;
        public final long offset;
        public final int length;
        public final long sent;
        public volatile long ended;
        public volatile int error;
        public volatile int replies;

        /** Its connection ended: no answer is owed. */
        public volatile boolean cut;

        Asked(
                long gateway,
                int volume,
                StoreMessages.Kind kind,
                int band,
                long offset,
                int length,
                long sent) {
            this.gateway = gateway;
            this.volume = volume;
            this.kind = kind;
            this.band = band;
            this.offset = offset;
            this.length = length;
            this.sent = sent;
        }
    }

    final List<Came> came = new ArrayList<>();
    final List<Ran> ran = new ArrayList<>();
    final List<Answered> answered = new ArrayList<>();
    final List<CalledOff> calledOff = new ArrayList<>();
    final List<Started> started = new ArrayList<>();
    final List<Fell> fell = new ArrayList<>();
    final List<Told> told = new ArrayList<>();
    final List<Life> lives = new ArrayList<>();
    final List<Asked> asked = new ArrayList<>();

    @Override
    public synchronized void attemptCame(
            int node, long gateway, StoreMessages.Send send, long nanos) {
        came.add(new Came(node, gateway, send, nanos));
    }

    @Override
    public synchronized void ran(int node, long gateway, StoreMessages.Send send, long nanos) {
        ran.add(new Ran(node, gateway, send, nanos));
    }

    @Override
    public synchronized void answered(
            int node,
            long gateway,
            long mark,
            int number,
            StoreMessages.Code code,
            boolean lost,
            long nanos) {
        answered.add(new Answered(node, gateway, mark, number, code, lost, nanos));
    }

    @Override
    public synchronized void calledOff(int node, long gateway, long mark, int number, long nanos) {
        calledOff.add(new CalledOff(node, gateway, mark, number, nanos));
    }

    @Override
    public synchronized void started(int node, double unitsPerSecond, long nanos) {
        started.add(new Started(node, unitsPerSecond, nanos));
    }

    @Override
    public synchronized void fell(int node, long nanos) {
        fell.add(new Fell(node, nanos));
    }

    @Override
    public synchronized void told(
            long gateway, boolean whole, List<DirectoryMessages.EndpointLine> lines, long nanos) {
        told.add(new Told(gateway, whole, List.copyOf(lines), nanos));
    }

    /** A gateway was opened. */
    public synchronized Life opened(int index, long gateway, long nanos) {
        Life life = new Life(index, gateway, nanos);
        lives.add(life);
        return life;
    }

    /** A client sends a request; the answer is noted into what is given back. */
    public synchronized Asked asks(
            long gateway,
            int volume,
            StoreMessages.Kind kind,
            int band,
            long offset,
            int length,
            long nanos) {
        Asked request = new Asked(gateway, volume, kind, band, offset, length, nanos);
        asked.add(request);
        return request;
    }
}
