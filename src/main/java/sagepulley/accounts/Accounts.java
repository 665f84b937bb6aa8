package sagepulley.accounts;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sagepulley.model.Band;

/**
 * Accounts of latency by volume: where each operation's time went, without remainder, and who it waited behind.
 * No I/O and no clock; times are milliseconds handed in. Memory is bounded: so many volumes (the rest share one
 * account, number 0), ten minutes in windows of ten seconds and half a day in windows of five minutes.
 */
public final class Accounts {
    private static final double FINE = 10_000;
    private static final int FINE_KEPT = 60;
    private static final double COARSE = 300_000;
    private static final int COARSE_KEPT = 144;
    /** A node whose work for a unit takes so many times the mean is slow; what it takes beyond is its own doing. */
    private static final double SLOW = 1.5;
    private static final double PACE_STEP = 0.1;

    /** How an operation ended. */
    public enum End { SATISFIED, DECLINED, SCRAPPED, LEFT }

    /** A cause with the milliseconds of waiting that are charged to it, and its part of all waits. */
    public record Charged(Cause cause, double waited, double share) {
    }

    /** What a volume got over a stretch of time; causes come with the largest first. */
    public record Report(long volume, long operations, long met, long late, long declined, long scrapped,
                         long left, double units, double utilityLost, Map<Spent, Double> parts,
                         List<Charged> causes) {
    }

    private static final class VolumeAccount {
        final Window[] fine = new Window[FINE_KEPT];
        final Window[] coarse = new Window[COARSE_KEPT];
    }

    private final int mostVolumes;
    private final Map<Long, VolumeAccount> volumes = new HashMap<>();
    /** Milliseconds of work a unit, by node. */
    private final Map<Integer, Double> paces = new LinkedHashMap<>();

    public Accounts(int mostVolumes) {
        this.mostVolumes = mostVolumes;
    }

    /** An operation came. */
    public Meter begin(long volume, Band band, double units, double now) {
        return new Meter(volume, band, units, now);
    }

    /** From now on its time goes elsewhere: to a wait at this gateway for a node (0: none) behind others. */
    public void turn(Meter meter, Spent part, int node, Ahead ahead, double now) {
        close(meter, now);
        meter.spends = part;
        meter.node = node;
        meter.ahead = ahead;
    }

    /** Its hop was answered: the node told how long it stood in its queue and was worked on. */
    public void answered(Meter meter, double waited, double worked, double now) {
        double length = Math.max(0, now - meter.since);
        double queue = Math.min(length, Math.max(0, waited));
        double work = Math.min(length - queue, Math.max(0, worked));
        meter.since = now;
        book(meter, Spent.ON_THE_WAY, length - queue - work, now);
        book(meter, Spent.NODE_QUEUE, queue, now);
        book(meter, Spent.NODE_WORK, work, now);
        double pace = Math.max(0, worked) / Math.max(1e-9, meter.units);
        paces.merge(meter.node, pace, (old, latest) -> old + PACE_STEP * (latest - old));
        meter.spends = Spent.RANKS_LATER;
    }

    /** Its hop ended for nothing. */
    public void failed(Meter meter, double now) {
        meter.spends = Spent.FUTILE;
        close(meter, now);
        meter.spends = Spent.RANKS_LATER;
    }

    /** Its final answer is out, or its client left. */
    public void end(Meter meter, End how, double now) {
        if (meter.ended) {
            return;
        }
        close(meter, now);
        meter.ended = true;
        double took = now - meter.arrivedAt;
        Window window = window(meter.volume, now);
        window.operations++;
        window.units += meter.units;
        switch (how) {
            case SATISFIED -> {
                if (took <= meter.band.targetTime()) {
                    window.met++;
                } else {
                    window.late++;
                    window.utilityLost += meter.band.utility() * (1 - meter.band.lateShare());
                }
            }
            case DECLINED -> window.declined++;
            case SCRAPPED -> window.scrapped++;
            case LEFT -> window.left++;
        }
        if (how != End.SATISFIED) {
            window.utilityLost += meter.band.utility();
        }
    }

    private void close(Meter meter, double now) {
        double length = Math.max(0, now - meter.since);
        meter.since = now;
        book(meter, meter.spends, length, now);
    }

    private void book(Meter meter, Spent part, double length, double now) {
        if (length <= 0 || meter.ended) {
            return;
        }
        meter.parts[part.ordinal()] += length;
        Window window = window(meter.volume, now);
        window.parts[part.ordinal()] += length;
        charge(window, meter, part, length);
    }

    /** Whom a wait is charged to. */
    private void charge(Window window, Meter meter, Spent part, double length) {
        switch (part) {
            case RESERVE_FULL, SHARE_FULL, BEYOND_SHARE, RANKS_LATER -> behind(window, meter, length, false);
            case NODE_QUEUE -> behind(window, meter, length, true);
            case HELD_BACK, BUDGET -> window.charge(Cause.of(Cause.Kind.CAUTION, meter.node), length);
            case LIMIT, ORDER -> window.charge(Cause.of(Cause.Kind.OWN_LOAD, meter.volume), length);
            case COLD, SILENT, NOT_READY, FUTILE -> window.charge(Cause.of(Cause.Kind.FAULT, meter.node), length);
            case DIRECTORY -> window.charge(Cause.of(Cause.Kind.DIRECTORY, 0), length);
            case ON_THE_WAY -> window.charge(Cause.of(Cause.Kind.NETWORK, meter.node), length);
            case NODE_WORK -> {
                double slow = length * slowPart(meter.node);
                if (slow > 0) {
                    window.charge(Cause.of(Cause.Kind.SLOW_NODE, meter.node), slow);
                }
                window.charge(Cause.of(Cause.Kind.OWN_WORK, meter.volume), length - slow);
            }
        }
    }

    /** Behind the units ahead, by volume; but a slow node's own part is charged to the node. */
    private void behind(Window window, Meter meter, double length, boolean estimate) {
        double slow = length * slowPart(meter.node);
        if (slow > 0) {
            window.charge(new Cause(Cause.Kind.SLOW_NODE, meter.node, estimate), slow);
        }
        double rest = length - slow;
        double sum = meter.ahead.sum();
        if (sum <= 0) {
            // Nothing of this gateway's is ahead: other gateways' work, or none that can be seen.
            window.charge(new Cause(Cause.Kind.CAUTION, meter.node, estimate), rest);
            return;
        }
        for (int i = 0; i < meter.ahead.volumes().length; i++) {
            long who = meter.ahead.volumes()[i];
            Cause.Kind kind = who == meter.volume ? Cause.Kind.OWN_LOAD : Cause.Kind.NEIGHBOUR;
            window.charge(new Cause(kind, who, estimate), rest * meter.ahead.units()[i] / sum);
        }
    }

    /** The part of a node's time that a node at the mean pace would not have taken. */
    private double slowPart(int node) {
        Double pace = paces.get(node);
        if (pace == null || paces.size() < 2) {
            return 0;
        }
        double others = 0;
        for (Map.Entry<Integer, Double> entry : paces.entrySet()) {
            others += entry.getKey() == node ? 0 : entry.getValue();
        }
        double usual = others / (paces.size() - 1);
        return usual > 0 && pace > SLOW * usual ? 1 - usual / pace : 0;
    }

    /** The volume's window for now; what it held of ten minutes ago goes to the coarser one of its time. */
    private Window window(long volume, double now) {
        VolumeAccount account = volumes.get(volume);
        if (account == null) {
            long key = volumes.size() < mostVolumes ? volume : 0;
            account = volumes.computeIfAbsent(key, any -> new VolumeAccount());
        }
        long number = (long) Math.floor(now / FINE);
        int at = (int) Math.floorMod(number, (long) FINE_KEPT);
        Window window = account.fine[at];
        if (window == null) {
            window = new Window();
            account.fine[at] = window;
        }
        if (window.number != number) {
            if (window.operations > 0 || !window.causes.isEmpty()) {
                keep(account, window);
            }
            window.clear(number);
        }
        return window;
    }

    private static void keep(VolumeAccount account, Window fine) {
        long number = (long) Math.floor(fine.number * FINE / COARSE);
        int at = (int) Math.floorMod(number, (long) COARSE_KEPT);
        Window coarse = account.coarse[at];
        if (coarse == null) {
            coarse = new Window();
            account.coarse[at] = coarse;
        }
        if (coarse.number < number) {
            coarse.clear(number);
        }
        if (coarse.number == number) {
            coarse.add(fine);
        }
    }

    /** A volume's account from a time to another, as fine as it is still kept. */
    public Report report(long volume, double from, double to) {
        Window sum = new Window();
        VolumeAccount account = volumes.get(volume);
        if (account != null) {
            add(sum, account.coarse, COARSE, from, to);
            add(sum, account.fine, FINE, from, to);
        }
        Map<Spent, Double> parts = new LinkedHashMap<>();
        for (Spent part : Spent.values()) {
            if (sum.parts[part.ordinal()] > 0) {
                parts.put(part, sum.parts[part.ordinal()]);
            }
        }
        double all = sum.causes.values().stream().mapToDouble(time -> time[0]).sum();
        List<Charged> causes = new ArrayList<>();
        sum.causes.forEach((cause, time) -> causes.add(new Charged(cause, time[0], time[0] / all)));
        causes.sort(Comparator.comparingDouble(Charged::waited).reversed()
                .thenComparing(charged -> charged.cause().toString()));
        return new Report(volume, sum.operations, sum.met, sum.late, sum.declined, sum.scrapped, sum.left, sum.units,
                sum.utilityLost, parts, causes);
    }

    private static void add(Window sum, Window[] ring, double length, double from, double to) {
        for (Window window : ring) {
            if (window != null && window.number >= Math.floor(from / length) && window.number * length <= to) {
                sum.add(window);
            }
        }
    }

    /** The volumes that have an account, in order. */
    public List<Long> volumes() {
        return volumes.keySet().stream().sorted().toList();
    }
}
