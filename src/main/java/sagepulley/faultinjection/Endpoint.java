package sagepulley.faultinjection;

/** A storage endpoint as listed by the stand-in discovery service. */
record Endpoint(String id, int port, int cell, State state, long startedAtWallMillis) {
    /** Phases of the discovery protocol. */
    enum State {
        SERVING,
        DRAINING,
        DELETED
    }

    /** Returns the endpoint's entry in the endpoint list of the discovery protocol. */
    String json(boolean indented) {
        String text =
                "{\"id\":\""
                        + id
                        + "\",\"host_port\":\"127.0.0.1:"
                        + port
                        + "\",\"locality\":\"here\","
                        + "\"flavor\":\"plain\",\"cell\":"
                        + cell
                        + ",\"phase\":\""
                        + state
                        + "\",\"size\":1.0,"
                        + "\"up_since_ms\":"
                        + startedAtWallMillis
                        + "}";
        return indented ? text.replace(",\"", ",\n      \"").replace("{\"", "{\n      \"") : text;
    }
}
