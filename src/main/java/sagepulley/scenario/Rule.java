package sagepulley.scenario;

/** A rule that gateways must follow, checked against the traffic recorded at the sockets. */
interface Rule {
    /** Checks the rule against the traffic of one run. */
    RuleVerdict evaluate(Evidence evidence);
}
