package hopdrum.frontdoor.wire;

import hopdrum.host.Outcome;

/**
 * The content of the counter's response to one request.
 *
 * @param outcome how the request ended
 * @param total the total of the number after the request, in units; 0 unless the outcome is {@link Outcome#OK}
 */
public record CounterReply(Outcome outcome, double total) {}
