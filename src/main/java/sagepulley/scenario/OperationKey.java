package sagepulley.scenario;

/** An operation of one gateway's incarnation, as the nodes see it. */
record OperationKey(long gateway, long operationId) {}
