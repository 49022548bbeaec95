package hopdrum.policy;

import hopdrum.policy.backends.Backend;
import hopdrum.policy.context.Timer;

/** One forwarding of a request to a backend. */
final class Attempt {
    final Backend backend;
    final long sentAtUs;
    // The number of the attempt within its request, from 0 in the order in which attempts start.
    final int number;
    boolean inFlight = true;
    // Cancelled when the attempt ends.
    Timer overdueTimer;
    // True if the attempt certainly did not run, so that another attempt is harmless.
    boolean neverRan;

    Attempt(Backend backend, long sentAtUs, int number) {
        this.backend = backend;
        this.sentAtUs = sentAtUs;
        this.number = number;
    }
}
