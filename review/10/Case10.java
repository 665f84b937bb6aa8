import java.util.Arrays;

/**
 * A write of an unrepeatable band covers two extents at two nodes, one of which is down. The client
 * is told that the write was rejected, and asks again.
 */
final class Case10 {
    private static final int EXTENT = 1 << 20;
    private static final int BLOCK = 4096;
    private static final int EXTENTS = 16;
    private static final int ENOMEM = 12;
    private static final String EXPORT = "demo";

    private Case10() {}

    public static void main(String[] args) {
        Rig.main(args, Case10::run);
    }

    private static byte[] block(int seed, int length) {
        byte[] data = new byte[length];
        Arrays.fill(data, (byte) seed);
        return data;
    }

    private static void run(Rig rig, boolean trouble) throws Exception {
        Directory directory = rig.keep(new Directory(rig.record, 1, 0));
        Store[] nodes = new Store[3];
        for (int node = 1; node <= 2; node++) {
            nodes[node] = rig.keep(new Store(rig.record, node, EXTENT, sent -> new Store.Work(2, true)));
            directory.put(node, node, 1, 0, nodes[node].port());
        }
        int port = Rig.freePort();
        String band = Rig.writeBand("repeats = unrepeatable");
        rig.start("a", "gateway", rig.site("a", port, directory.port(), band));
        NbdClient client =
                rig.keep(new NbdClient(rig.record, "1", port, EXPORT, false, Double.POSITIVE_INFINITY));
        for (int extent = 0; extent < EXTENTS; extent++) {
            NbdClient.Reply reply = client.write((long) extent * EXTENT, block(1, BLOCK)).await(10_000);
            Rig.check(reply != null && reply.error() == 0, "write " + extent + " was not served");
        }
        int extent = 0;
        while (directory.holder(1, extent) == directory.holder(1, extent + 1)) {
            extent++;
            Rig.check(extent + 1 < EXTENTS, "all extents lie at one node");
        }
        Store first = nodes[directory.holder(1, extent)];
        Store second = nodes[directory.holder(1, extent + 1)];
        long offset = (long) (extent + 1) * EXTENT - BLOCK;
        byte[] data = block(2, 2 * BLOCK);
        if (trouble) {
            second.down();
            Rig.sleep(500);
        }
        NbdClient.Reply reply = null;
        for (int tries = 0; tries < 5 && (reply == null || reply.error() != 0); tries++) {
            reply = client.write(offset, data).await(10_000);
            Rig.check(reply != null, "the write was not answered");
            if (reply.error() != 0 && reply.error() != ENOMEM) {
                rig.record.line("the answer promises nothing, so the client does not ask again");
                break;
            }
            if (reply.error() == ENOMEM && trouble) {
                trouble = false;
                second.up();
                Rig.sleep(2_000);
            }
        }
        byte[] half = block(2, BLOCK);
        int atFirst = first.applied(1, extent, EXTENT - BLOCK, half);
        int atSecond = second.applied(1, extent + 1, 0, half);
        rig.record.line("the write ran %d times at the first node, %d times at the second", atFirst, atSecond);
        if (atFirst > 1 || atSecond > 1) {
            rig.record.broken(
                    "the unrepeatable write ran %d times at one node and %d times at the other: the gateway had"
                            + " answered ENOMEM (rejected, nothing stands against asking again) after a part had"
                            + " run",
                    atFirst, atSecond);
        }
    }
}
