import java.util.Arrays;
import java.util.ArrayList;
import java.util.List;

/**
 * A gateway is killed and starts anew soon after extents were first written. A client of a band that
 * keeps order then zeroes a block and writes it, without waiting between the two.
 */
final class Case8 {
    private static final int EXTENT = 1 << 20;
    private static final int BLOCK = 4096;
    private static final int EXTENTS = 8;
    private static final String EXPORT = "demo";

    private Case8() {}

    public static void main(String[] args) {
        Rig.main(args, Case8::run);
    }

    private static byte[] block(int seed) {
        byte[] data = new byte[BLOCK];
        Arrays.fill(data, (byte) seed);
        return data;
    }

    private static void run(Rig rig, boolean trouble) throws Exception {
        Directory directory = rig.keep(new Directory(rig.record, 1, 0));
        for (int node = 1; node <= 2; node++) {
            Store store = rig.keep(new Store(rig.record, node, EXTENT, sent -> new Store.Work(2, true)));
            directory.put(node, node, 1, 0, store.port());
        }
        int port = Rig.freePort();
        String site =
                rig.site(
                        "a",
                        port,
                        directory.port(),
                        Rig.writeBand("in-order = yes")
                                + "\n[membership]\nlist = "
                                + rig.folder.resolve("nodes")
                                + "\nholders = "
                                + rig.folder.resolve("holders"));
        Rig.Started gateway = rig.start("a", "gateway", site);
        NbdClient client = rig.keep(new NbdClient(rig.record, "1", port, EXPORT));
        for (int extent = 0; extent < EXTENTS; extent++) {
            served(client.write((long) extent * EXTENT, block(1)), "the first write");
        }
        // The list is on disk now; the holders of the extents are written every ten seconds only.
        Rig.sleep(1_500);
        if (trouble) {
            rig.kill(gateway);
            rig.start("a", "gateway", site);
            client = rig.keep(new NbdClient(rig.record, "1 (reconnected)", port, EXPORT));
        }
        List<NbdClient.Request> zeroes = new ArrayList<>();
        List<NbdClient.Request> writes = new ArrayList<>();
        for (int extent = 0; extent < EXTENTS; extent++) {
            client.hold();
            zeroes.add(client.writeZeroes((long) extent * EXTENT, BLOCK));
            writes.add(client.write((long) extent * EXTENT, block(2)));
            client.sendHeld();
            Rig.sleep(300);
        }
        for (int extent = 0; extent < EXTENTS; extent++) {
            NbdClient.Reply zeroed = zeroes.get(extent).await(10_000);
            NbdClient.Reply written = writes.get(extent).await(10_000);
            Rig.check(zeroed != null && written != null, "a request was not answered");
            if (zeroed.error() != 0 || written.error() != 0) {
                rig.record.line("extent %d: not both were served", extent);
                continue;
            }
            NbdClient.Reply read = client.read((long) extent * EXTENT, BLOCK).await(10_000);
            Rig.check(read != null && read.error() == 0, "the read was not served");
            if (!Arrays.equals(read.data(), block(2))) {
                rig.record.broken(
                        "extent %d: zeroed, then written with 2 in a band that keeps order, both acknowledged; it"
                                + " reads %d",
                        extent, read.data()[0]);
            }
        }
    }

    private static void served(NbdClient.Request request, String what) throws InterruptedException {
        NbdClient.Reply reply = request.await(10_000);
        Rig.check(reply != null && reply.error() == 0, what + " was not served");
    }
}
