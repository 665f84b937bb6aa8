import java.util.Arrays;
import java.util.List;

/**
 * A gateway is killed and starts anew between the acknowledged writes of a client and its flush. After
 * the flush has been acknowledged the node loses power.
 */
final class Case6 {
    private static final int EXTENT = 1 << 20;
    private static final int BLOCK = 4096;
    private static final int WRITES = 32;
    private static final String EXPORT = "demo";

    private Case6() {}

    public static void main(String[] args) {
        Rig.main(args, Case6::run);
    }

    private static byte[] block(int seed) {
        byte[] data = new byte[BLOCK];
        Arrays.fill(data, (byte) seed);
        return data;
    }

    private static void run(Rig rig, boolean trouble) throws Exception {
        Directory directory = rig.keep(new Directory(rig.record, 1, 0));
        Store node = rig.keep(new Store(rig.record, 1, EXTENT, sent -> new Store.Work(2, true)));
        directory.put(1, 1, 1, 0, node.port());
        int port = Rig.freePort();
        String site = rig.site("a", port, directory.port(), Rig.writeBand(""));

        Rig.Started gateway = rig.start("a", "gateway", site);
        NbdClient client = rig.keep(new NbdClient(rig.record, "1", port, EXPORT));
        for (int i = 0; i < WRITES; i++) {
            NbdClient.Reply reply = client.write((long) i * BLOCK, block(i + 1)).await(10_000);
            Rig.check(reply != null && reply.error() == 0, "write " + i + " was not served");
        }
        if (trouble) {
            rig.kill(gateway);
            rig.start("a", "gateway", site);
            client = rig.keep(new NbdClient(rig.record, "1 (reconnected)", port, EXPORT));
        }
        NbdClient.Reply flushed = client.flush().await(10_000);
        List<String> notDurable = node.notDurable();
        Rig.check(flushed != null, "the flush was not answered");
        if (flushed.error() != 0) {
            rig.record.line("the flush was not served, so it promises nothing");
            return;
        }
        if (!notDurable.isEmpty()) {
            rig.record.broken(
                    "the flush was acknowledged while %d acknowledged writes of the volume are not durable at"
                            + " the node: %s",
                    notDurable.size(), notDurable);
        }
        node.failPower();
        directory.put(1, 1, 1, node.startedAt(), node.port());
        for (int i = 0; i < WRITES; i++) {
            NbdClient.Reply reply = null;
            for (int tries = 0; tries < 40 && (reply == null || reply.error() != 0); tries++) {
                Rig.sleep(tries == 0 ? 0 : 250);
                reply = client.read((long) i * BLOCK, BLOCK).await(10_000);
            }
            Rig.check(reply != null && reply.error() == 0, "read " + i + " was not served");
            if (!Arrays.equals(reply.data(), block(i + 1))) {
                rig.record.broken(
                        "block %d was acknowledged with %d and flushed; it reads %d after the power failure",
                        i, i + 1, reply.data()[0]);
            }
        }
    }
}
