import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A gateway gets SIGTERM while a client receives the answers to its reads and has a write behind
 * them.
 */
final class Case10 {
    private static final int EXTENT = 1 << 20;
    private static final int LENGTH = 16 << 20;
    private static final int READS = 3;
    private static final String EXPORT = "demo";

    /** The client takes 64 MB a second, about half of what a link of 1 Gbit/s carries. */
    private static final double BYTES_PER_MILLI = 64_000;

    private Case10() {}

    public static void main(String[] args) {
        Rig.main(args, Case10::run);
    }

    private static byte[] pattern(int seed, int length) {
        byte[] data = new byte[length];
        for (int i = 0; i < length; i += Integer.BYTES) {
            int value = (seed + i) * 0x9e3779b1;
            data[i] = (byte) value;
            data[i + 1] = (byte) (value >> 8);
            data[i + 2] = (byte) (value >> 16);
            data[i + 3] = (byte) (value >> 24);
        }
        return data;
    }

    private static void run(Rig rig, boolean trouble) throws Exception {
        Directory directory = rig.keep(new Directory(rig.record, 1, 0));
        for (int node = 1; node <= 2; node++) {
            rig.start(
                    "node-" + node, "node", "--id", "" + node, "--directory", "127.0.0.1:" + directory.port());
        }
        for (int i = 0; i < 100 && directory.nodes() < 2; i++) {
            Rig.sleep(100);
        }
        int port = Rig.freePort();
        Rig.Started gateway =
                rig.start("a", "gateway", rig.site("a", port, directory.port(), Rig.writeBand("")));
        NbdClient writer = rig.keep(new NbdClient(rig.record, "writer", port, EXPORT));
        for (int i = 0; i < READS * LENGTH / EXTENT; i++) {
            NbdClient.Reply reply = null;
            for (int tries = 0; tries < 20 && (reply == null || reply.error() != 0); tries++) {
                Rig.sleep(tries == 0 ? 0 : 200);
                reply = writer.write((long) i * EXTENT, pattern(i * EXTENT, EXTENT)).await(10_000);
            }
            Rig.check(reply != null && reply.error() == 0, "write " + i + " was not served");
        }
        writer.close();

        NbdClient client = rig.keep(new NbdClient(rig.record, "reader", port, EXPORT, true, BYTES_PER_MILLI));
        List<NbdClient.Request> requests = new ArrayList<>();
        for (int i = 0; i < READS; i++) {
            requests.add(client.read((long) i * LENGTH, LENGTH));
        }
        requests.add(client.write(60L * EXTENT, pattern(7, 4096)));
        Rig.sleep(200);
        rig.record.line("client reader has received %d bytes", client.received());
        if (trouble) {
            rig.terminate(gateway);
        }
        int unanswered = 0;
        for (NbdClient.Request request : requests) {
            NbdClient.Reply reply = request.await(20_000);
            if (reply == null) {
                unanswered++;
                rig.record.line("request at %d got no final answer (%s)", request.offset, client.end());
            } else if (reply.error() == 0
                    && request.command == NbdClient.READ
                    && !Arrays.equals(reply.data(), expected(request))) {
                rig.record.broken("read at %d brought wrong data", request.offset);
            }
        }
        rig.record.line("client reader has received %d bytes", client.received());
        if (unanswered > 0) {
            rig.record.broken(
                    "%d of %d requests that the gateway had taken before SIGTERM got no final answer",
                    unanswered, requests.size());
        }
        if (trouble) {
            Rig.check(gateway.process().waitFor(30, TimeUnit.SECONDS), "the gateway did not stop");
            rig.record.line("the gateway ended with status %d", gateway.process().exitValue());
        }
    }

    private static byte[] expected(NbdClient.Request request) {
        byte[] data = new byte[request.data.length];
        for (int at = 0; at < data.length; at += EXTENT) {
            System.arraycopy(pattern((int) request.offset + at, EXTENT), 0, data, at, EXTENT);
        }
        return data;
    }
}
