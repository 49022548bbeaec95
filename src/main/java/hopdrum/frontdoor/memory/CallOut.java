package hopdrum.frontdoor.memory;

import hopdrum.frontdoor.lifecycle.Loop;

/** One sending of an RPC to a backend. */
public final class CallOut {
    public final OpenRpc rpc;
    public final int number;
    public final long sentUs;
    public BackendConnection connection; // null before it has one, and once it has ended
    public Loop.Timer timeOut;
    public boolean ended;
    public boolean passed;          // its answer, whatever it is, is the client's

    public CallOut(OpenRpc rpc, int number, long sentUs) {
        this.rpc = rpc;
        this.number = number;
        this.sentUs = sentUs;
    }
}
