package hopdrum.frontdoor.wire;

import hopdrum.host.Outcome;

/**
 * What the counter's response to one call says.
 *
 * @param outcome how the call ended
 * @param total the number's total after the call, in units; 0 unless the outcome is {@link Outcome#OK}
 */
public record CounterReply(Outcome outcome, double total) {}
