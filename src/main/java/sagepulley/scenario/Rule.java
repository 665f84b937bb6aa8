package sagepulley.scenario;

/** One of the rules that a gateway must keep (WIRE 9), judged from what passed on the sockets. */
interface Rule {
    /** How the rule was kept in one run. */
    RuleVerdict evaluate(Evidence evidence);
}
