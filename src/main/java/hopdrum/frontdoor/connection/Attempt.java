package hopdrum.frontdoor.connection;

import hopdrum.frontdoor.lifecycle.EventLoop;

/** One sending of an RPC to a backend. */
public final class Attempt {
    public final InFlightRequest rpc;
    public final int number;
    public final long sentUs;
    public final long endsAtUs; // Policy stops waiting for its answer
    public final long beginByUs; // later its request may not be written any more
    public BackendConnection connection; // null before it has one, and once it has ended
    public EventLoop.Timer timeOut;
    public boolean ended;
    public boolean passed; // its answer, whatever it is, is the client's

    public Attempt(InFlightRequest rpc, long sentUs, long timeOutUs, long beginWithinUs) {
        this.rpc = rpc;
        this.number = rpc.attempts.size();
        this.sentUs = sentUs;
        this.endsAtUs = sentUs + timeOutUs;
        this.beginByUs = sentUs + beginWithinUs;
    }
}
