package sagepulley.scenario;

/** Identifies an operation by its gateway incarnation and the operation ID on the wire. */
record OperationKey(long gateway, long operationId) {}
