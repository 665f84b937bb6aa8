package sagepulley.discovery.http;

import sagepulley.membership.EndpointPollPolicy;

/**
 * Timeouts of requests to discovery, in milliseconds.
 *
 * @param firstListTimeoutMillis maximum wait for the first list of a request
 * @param idleTimeoutMillis maximum time between two lists or heartbeats of a watch
 */
record DiscoveryTimeouts(long firstListTimeoutMillis, long idleTimeoutMillis) {
    static final DiscoveryTimeouts DEFAULT =
            new DiscoveryTimeouts(
                    EndpointPollPolicy.FIRST_LIST_TIMEOUT_MILLIS,
                    EndpointPollPolicy.IDLE_TIMEOUT_MILLIS);
}
