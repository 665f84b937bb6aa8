package sagepulley.faultinjection;

import java.io.IOException;

/** What a soak run's plan can do to a fleet. */
interface SoakActions {
    /** Discovery answers in another way; watches that stand may be reset. */
    void setDiscoveryBehaviour(DiscoveryBehaviour behaviour, boolean resetWatches);

    /** Watches that stand say nothing, or speak again. */
    void setWatchesSilent(boolean silent);

    /** Discovery's process ends. */
    void stopDiscovery();

    /** Discovery is cut off by the network. */
    void cutOffDiscovery() throws IOException;

    /** Discovery can be reached again. */
    void restoreDiscovery() throws IOException;

    /** A store is listed in a state. */
    void listStore(int store, Endpoint.State state);

    /** A store takes commands and answers none, or goes on. */
    void setStoreUnresponsive(int store, boolean unresponsive);

    /** A store resets its connections. */
    void resetStore(int store);

    /** A gateway is killed and started again, with SIGTERM first if that is planned. */
    void restartGateway(int gateway, boolean planned);

    /** Discovery moves for a gateway, which is sent SIGHUP. */
    void moveDiscovery(int gateway) throws IOException, InterruptedException;

    /** Discovery moves for a gateway that is sent SIGHUP but cannot read its configuration. */
    void moveDiscoveryWithUnreadableConfig(int gateway) throws IOException, InterruptedException;

    /** A gateway's configuration can be read. */
    void restoreConfig(int gateway) throws IOException;

    /** A gateway's process is stopped for a moment, as by a busy machine. */
    void suspendGateway(int gateway) throws IOException, InterruptedException;

    /** The wall clock of the gateways is off by so much. */
    void setWallClockOffset(long millis) throws IOException;

    /** Every gateway gets many connections on which nothing is requested. */
    void openIdleConnections();
}
