package sagepulley.frontend.resp;

/** Divides the sockets of the process between client and endpoint connections. */
record SocketBudget(int forClients, int forEndpoints) {
    /** File descriptors for libraries, event loops, discovery and standard streams. */
    private static final int RESERVED_DESCRIPTORS = 40;

    private static final double CLIENT_FRACTION = 0.7;

    static SocketBudget of(int maxSockets) {
        int available = maxSockets - RESERVED_DESCRIPTORS;
        int clients = (int) (available * CLIENT_FRACTION);
        return new SocketBudget(clients, available - clients);
    }
}
