package sagepulley.faultinjection;

import java.io.IOException;

/** The actions that a soak run's plan can perform on a fleet. */
interface SoakActions {
    /** Changes how discovery answers calls, and optionally resets all open connections. */
    void setDiscoveryBehaviour(DiscoveryBehaviour behaviour, boolean resetWatches);

    /** Sets whether open watches stay silent. */
    void setWatchesSilent(boolean silent);

    /** Simulates the end of the discovery process. */
    void stopDiscovery();

    /** Simulates a network partition of discovery. */
    void cutOffDiscovery() throws IOException;

    /** Makes discovery reachable again. */
    void restoreDiscovery() throws IOException;

    /** Lists a store in a state. */
    void listStore(int store, Endpoint.State state);

    /** Sets whether a store accepts commands without answering them. */
    void setStoreUnresponsive(int store, boolean unresponsive);

    /** Resets a store's connections. */
    void resetStore(int store);

    /** Kills a gateway, after SIGTERM if the restart is planned, and starts it again. */
    void restartGateway(int gateway, boolean planned);

    /** Moves discovery to another address for a gateway and sends the gateway SIGHUP. */
    void moveDiscovery(int gateway) throws IOException, InterruptedException;

    /** Moves discovery for a gateway whose configuration cannot be read, and sends it SIGHUP. */
    void moveDiscoveryWithUnreadableConfig(int gateway) throws IOException, InterruptedException;

    /** Makes a gateway's configuration readable again. */
    void restoreConfig(int gateway) throws IOException;

    /** Suspends a gateway's process for a moment, to simulate a busy machine. */
    void suspendGateway(int gateway) throws IOException, InterruptedException;

    /** Sets the offset of the gateways' wall clock. */
    void setWallClockOffset(long millis) throws IOException;

    /** Opens many connections to every gateway without sending requests. */
    void openIdleConnections();
}
