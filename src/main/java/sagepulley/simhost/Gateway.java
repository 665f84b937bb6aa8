package sagepulley.simhost;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sagepulley.control.Control;
import sagepulley.model.Deployment;
import sagepulley.model.Hop;
import sagepulley.model.Node;
import sagepulley.model.Operation;
import sagepulley.model.Outcome;
import sagepulley.model.Pause;
import sagepulley.model.Placement;
import sagepulley.model.Sequel;
import sagepulley.model.Volume;

/** One instance on the wire: its operations in hand, its timer, and the module that decides for it. */
final class Gateway {
    private static final double NS = 1e6;
    private static final long LONGEST_WAKE_NS = 70L * 60 * 1_000_000_000;

    final Reply reply;
    final Deployment deployment;
    /** Set while the instance has an event in the batch at hand. */
    boolean called;
    private final Control control;
    private final Map<Long, Operation> operations = new HashMap<>();
    private final Map<Long, Volume> volumes = new HashMap<>();
    private final Map<Integer, Node> nodes = new LinkedHashMap<>();
    private long wakeNs = Long.MAX_VALUE;
    private long cookie;

    Gateway(Reply reply, Deployment deployment, long seed) {
        this.reply = reply;
        this.deployment = deployment;
        this.control = new Control(deployment, seed);
    }

    /** The list as it stands after a message of the given entries; a whole list drops what it lacks. */
    void list(List<ListEntry> entries, boolean whole, double now) {
        if (whole) {
            for (Node node : nodes.values()) {
                node.standing = Node.Standing.GONE;
            }
        }
        for (ListEntry entry : entries) {
            Node node = nodes.get(entry.store());
            if (node == null) {
                node = new Node(entry.store());
                nodes.put(entry.store(), node);
            }
            entry.copyTo(node);
        }
        control.listed(new ArrayList<>(nodes.values()), now);
    }

    void listFailed(double now) {
        control.listFailed(now);
    }

    void arrived(Operation operation, double now) {
        operations.put(operation.id, operation);
        answer(operation, control.place(operation, now));
    }

    Volume volume(long id, int plan) {
        return volumes.computeIfAbsent(id, any -> new Volume(any, deployment.plans().get(plan)));
    }

    /** The hop of an outcome; null if this instance never sent it. */
    Hop hop(long operation, int number) {
        Operation known = operations.get(operation);
        return known == null || number >= known.hops.size() ? null : known.hops.get(number);
    }

    void ended(Hop hop, boolean settled, double now) {
        Operation operation = hop.operation;
        operation.over |= settled;
        if (control.after(hop, now) == Sequel.PLACE_AGAIN) {
            answer(operation, control.place(operation, now));
        }
        forget(operation);
    }

    void left(long id, double now) {
        Operation operation = operations.get(id);
        if (operation != null && !operation.over) {
            operation.over = true;
            control.left(operation, now);
            forget(operation);
        }
    }

    void probed(int store, Outcome outcome, double took, double[] report, double now) {
        Node node = nodes.get(store);
        if (node != null) {
            control.probed(node, outcome, took, report, now);
        }
    }

    void timer(long token) {
        if (token == cookie) {
            wakeNs = Long.MAX_VALUE;
        }
    }

    /** After the events of a batch: whatever is due now, and the timer for what is due later. */
    void settle(double now, long nowNs) {
        Pause pause = control.pause(now);
        while (true) {
            for (Hop hop : pause.callOff()) {
                reply.callOff(hop.operation.id, hop.number);
            }
            for (Node node : pause.probes()) {
                reply.probe(node.id);
            }
            switch (pause.call()) {
                case SUBSCRIBE -> reply.subscribe();
                case FETCH -> reply.fetch();
                case NONE -> { }
            }
            if (pause.due().isEmpty()) {
                break;
            }
            boolean moved = false;
            for (Operation operation : pause.due()) {
                Placement placement = control.place(operation, now);
                moved |= placement.kind() != Placement.Kind.WAIT;
                answer(operation, placement);
            }
            if (!moved) {
                break; // asking again at the same moment would change nothing
            }
            pause = control.pause(now);
        }
        if (pause.length() < Double.POSITIVE_INFINITY) {
            long offset = Math.min(LONGEST_WAKE_NS, Math.max(1, (long) Math.ceil(pause.length() * NS)));
            if (nowNs + offset < wakeNs) {
                wakeNs = nowNs + offset;
                reply.wake(++cookie, offset);
            }
        }
    }

    private void answer(Operation operation, Placement placement) {
        switch (placement.kind()) {
            case SEND -> reply.send(operation.id, placement.node().id,
                    Math.max(1, (long) (placement.timeout() * NS)));
            case DECLINE -> reply.decline(operation.id, (long) (placement.advice() * NS));
            case SCRAP -> reply.scrap(operation.id);
            case WAIT -> { }
        }
        forget(operation);
    }

    private void forget(Operation operation) {
        if (!operation.over) {
            return;
        }
        for (Hop hop : operation.hops) {
            if (hop.outcome == null) {
                return;
            }
        }
        operations.remove(operation.id);
    }
}
