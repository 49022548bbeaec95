package hopdrum.frontdoor.connection;

import hopdrum.frontdoor.wire.RingBuffer;

/** Limits on the descriptors, memory and transfer time of all connections, and what is in use now. */
public final class ResourceBudget implements RingBuffer.MemoryListener {
    private static final int RESERVED_DESCRIPTORS = 32; // for files, discovery, the counter, UDP and the selector
    private static final int MIN_CONNECTIONS = 8;
    private final int maxClients;
    private final int maxBackends;
    private final long maxBytes;
    private final long transferTimeoutUs;
    private int clients;
    private int backends;
    private long bytes;

    /**
     * Splits the descriptors between clients and backends.
     *
     * @param sockets descriptors that the process may have open
     * @param memoryBytes bytes that the connections' buffers may hold
     * @param transferTimeoutUs how long a client may take to send a message, microseconds
     */
    public ResourceBudget(int sockets, long memoryBytes, long transferTimeoutUs) {
        this.transferTimeoutUs = transferTimeoutUs;
        int connections = Math.max(MIN_CONNECTIONS, sockets - RESERVED_DESCRIPTORS);
        maxBackends = connections / 3; // a queued request holds a client's connection alone
        maxClients = connections - maxBackends;
        maxBytes = memoryBytes;
    }

    /** How long a client may take to send a message, microseconds. */
    public long transferTimeoutUs() {
        return transferTimeoutUs;
    }

    /** Whether one more client's connection is within the limits. */
    public boolean hasRoomForClient() {
        return clients < maxClients && bytes < maxBytes;
    }

    /** Whether one more connection to a backend is within the limits. */
    public boolean hasRoomForBackend() {
        return backends < maxBackends && bytes < maxBytes;
    }

    /** Counts a client's connection. */
    public void clientOpened() {
        clients++;
    }

    /** Gives back what {@link #clientOpened()} counted. */
    public void clientClosed() {
        clients--;
    }

    /** Counts a connection to a backend. */
    public void backendOpened() {
        backends++;
    }

    /** Gives back what {@link #backendOpened()} counted. */
    public void backendClosed() {
        backends--;
    }

    /** How many clients' connections are open. */
    public int clientConnections() {
        return clients;
    }

    /** How many connections to backends are open. */
    public int backendConnections() {
        return backends;
    }

    @Override
    public void memoryChanged(int deltaBytes) {
        bytes += deltaBytes;
    }
}
