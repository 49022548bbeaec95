package hopdrum.frontdoor.connection;

import hopdrum.frontdoor.wire.BufferMemory;

/** The limits on the file descriptors, memory and transfer time of all connections, and what is in use now. */
public final class ResourceBudget {
    private static final int RESERVED_DESCRIPTORS = 32; // for files, discovery, the counter, UDP and the selector
    private static final int MIN_CONNECTIONS = 8;
    private final int maxClientConnections;
    private final int maxBackendConnections;
    private final MemoryBudget memory;
    private final long transferTimeoutUs;
    private int clientConnections;
    private int backendConnections;

    /**
     * Creates a budget, which splits the descriptors between clients and backends.
     *
     * @param maxDescriptors the number of file descriptors that the process may have open
     * @param maxBytes the memory that the connections' buffers may take, in bytes
     * @param transferTimeoutUs how long a client may take to send a message, in microseconds
     */
    public ResourceBudget(int maxDescriptors, long maxBytes, long transferTimeoutUs) {
        this.transferTimeoutUs = transferTimeoutUs;
        int connections = Math.max(MIN_CONNECTIONS, maxDescriptors - RESERVED_DESCRIPTORS);
        maxBackendConnections = connections / 3; // fewer, since a queued request holds only a client's connection
        maxClientConnections = connections - maxBackendConnections;
        memory = new MemoryBudget(maxBytes);
    }

    /** How long a client may take to send a message, in microseconds. */
    public long transferTimeoutUs() {
        return transferTimeoutUs;
    }

    /** Whether the limits allow one more connection from a client. */
    public boolean hasRoomForClient() {
        return clientConnections < maxClientConnections && !memory.isExhausted();
    }

    /** Whether the limits allow one more connection to a backend. */
    public boolean hasRoomForBackend() {
        return backendConnections < maxBackendConnections && !memory.isExhausted();
    }

    /** Counts a new connection from a client. */
    public void clientOpened() {
        clientConnections++;
    }

    /** Reverts {@link #clientOpened()} once the connection is closed. */
    public void clientClosed() {
        clientConnections--;
    }

    /** Counts a new connection to a backend. */
    public void backendOpened() {
        backendConnections++;
    }

    /** Reverts {@link #backendOpened()} once the connection is closed. */
    public void backendClosed() {
        backendConnections--;
    }

    /** The number of open connections from clients. */
    public int clientConnections() {
        return clientConnections;
    }

    /** The number of open connections to backends. */
    public int backendConnections() {
        return backendConnections;
    }

    /** The memory that the buffers of all connections may take together. */
    public MemoryBudget memory() {
        return memory;
    }

    /** Returns the source of memory for buffers with a purpose. */
    public BufferMemory memoryFor(MemoryBudget.Purpose purpose) {
        return memory.memoryFor(purpose);
    }
}
