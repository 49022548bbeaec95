package hopdrum.frontdoor.connection;

import hopdrum.frontdoor.wire.RingBuffer;

/** What the connections may hold of descriptors, memory and time, and what they hold now. */
public final class ResourceBudget implements RingBuffer.Account {
    private static final int KEPT = 32; // for files, discovery, the counter, UDP and the selector
    private final int mostClients;
    private final int mostBackends;
    private final long mostBytes;
    private final long slowUs;
    private int clients;
    private int backends;
    private long bytes;

    public ResourceBudget(int sockets, long memoryBytes, long slowUs) {
        this.slowUs = slowUs;
        int shared = Math.max(8, sockets - KEPT);
        mostBackends = shared / 3; // an RPC in line holds a client alone
        mostClients = shared - mostBackends;
        mostBytes = memoryBytes;
    }

    /** How long a client may take to send a message, or to take an answer. */
    public long slowUs() {
        return slowUs;
    }

    public boolean clientFits() {
        return clients < mostClients && bytes < mostBytes;
    }

    public boolean backendFits() {
        return backends < mostBackends && bytes < mostBytes;
    }

    public void client(int by) {
        clients += by;
    }

    public void backend(int by) {
        backends += by;
    }

    public int clients() {
        return clients;
    }

    public int backends() {
        return backends;
    }

    @Override
    public void changed(int byBytes) {
        bytes += byBytes;
    }
}
