package hopdrum.policy;

import hopdrum.policy.backends.Backend;

/** One forwarding of a request to a backend. */
final class Attempt {
    final Backend backend;
    final long sentAtUs;
    final int number; // in the request's order, from 0
    boolean inFlight = true;
    boolean neverRan; // for certain: another attempt is harmless

    Attempt(Backend backend, long sentAtUs, int number) {
        this.backend = backend;
        this.sentAtUs = sentAtUs;
        this.number = number;
    }
}
