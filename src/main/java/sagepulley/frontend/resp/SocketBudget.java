package sagepulley.frontend.resp;

/** How many connections to clients and to endpoints the process may have. */
record SocketBudget(int forClients, int forEndpoints) {
    /**
     * File descriptors of the program itself: libraries, event loops, discovery, standard streams.
     */
    private static final int RESERVED_DESCRIPTORS = 40;

    private static final double CLIENT_FRACTION = 0.7;

    static SocketBudget of(int maxSockets) {
        int available = maxSockets - RESERVED_DESCRIPTORS;
        int clients = (int) (available * CLIENT_FRACTION);
        return new SocketBudget(clients, available - clients);
    }
}
