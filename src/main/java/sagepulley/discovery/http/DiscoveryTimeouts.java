package sagepulley.discovery.http;

import sagepulley.membership.EndpointPollPolicy;

/**
 * How long discovery may take, in milliseconds.
 *
 * @param firstListTimeoutMillis for the first list of a request
 * @param idleTimeoutMillis between two lists or heartbeats of a watch
 */
record DiscoveryTimeouts(long firstListTimeoutMillis, long idleTimeoutMillis) {
    static final DiscoveryTimeouts DEFAULT =
            new DiscoveryTimeouts(
                    EndpointPollPolicy.FIRST_LIST_TIMEOUT_MILLIS,
                    EndpointPollPolicy.IDLE_TIMEOUT_MILLIS);
}
