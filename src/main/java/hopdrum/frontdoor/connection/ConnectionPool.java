package hopdrum.frontdoor.connection;

import hopdrum.host.Endpoint;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Set;

/** The connections to one backend. Idle connections are reused, the most recently used one first. */
public final class ConnectionPool {
    // Before a connection is reused: a second copy of a response may come some milliseconds late; see acquireIdle.
    private static final long MIN_IDLE_US = 10_000;
    private final long backendId;
    private final boolean partner;
    private InetSocketAddress address;
    private final Set<BackendConnection> openConnections = new HashSet<>(); // a closed connection removes itself
    private final Deque<BackendConnection> idleConnections = new ArrayDeque<>(); // open ones, longest idle first
    private boolean listed = true;
    private boolean accepting = true;
    private boolean superseded; // whether another backend has come up at the address
    private long startedAtMs;

    ConnectionPool(long backendId, InetSocketAddress address, boolean partner) {
        this.backendId = backendId;
        this.partner = partner;
        this.address = address;
    }

    /** The id that Policy uses for the backend. */
    public long backendId() {
        return backendId;
    }

    /**
     * Whether the backend is a partner's front door, whose responses with any final status are forwarded to the client.
     */
    boolean isPartner() {
        return partner;
    }

    /** The address that new connections are opened to. */
    public InetSocketAddress address() {
        return address;
    }

    /** Sets the backend's address. If it has changed, closes the idle connections, which lead to the old address. */
    void updateAddress(InetSocketAddress newAddress) {
        if (!newAddress.equals(address)) {
            address = newAddress;
            closeIdle();
        }
    }

    /** Sets when the backend's process has started. If it has changed, closes the idle connections to the former one. */
    void updateStart(long newStartedAtMs) {
        if (newStartedAtMs != startedAtMs) {
            startedAtMs = newStartedAtMs;
            closeIdle();
        }
    }

    /** Marks that the address belongs to another backend now, so that no attempt may be sent there for this one. */
    void supersede() {
        superseded = true;
        closeIdle();
    }

    /** Whether another backend has come up at the address. */
    public boolean isSuperseded() {
        return superseded;
    }

    /** Applies the state that the endpoint list gives for the backend. */
    void updateState(Endpoint.State state) {
        accepting = state == Endpoint.State.READY;
        superseded &= !accepting; // a list that names the backend as ready is newer than one that named another
        setListed(state != Endpoint.State.GONE);
    }

    /** Sets whether the endpoint list names the backend. If not, closes the idle connections. */
    void setListed(boolean nowListed) {
        listed = nowListed;
        accepting &= listed;
        if (!listed) {
            closeIdle();
        }
    }

    /** Whether attempts may be written to the backend: not once the backend is draining or withdrawn. */
    boolean acceptsAttempts() {
        return accepting && !superseded;
    }

    boolean isListed() {
        return listed;
    }

    boolean isEmpty() {
        return openConnections.isEmpty();
    }

    /**
     * Takes the most recently used connection that has been idle long enough, or returns null. Bytes that arrive just
     * behind a response, such as a second copy of it, must neither have been received nor be on their way when the next
     * attempt is written.
     *
     * @param nowUs the time of the event loop's clock, in microseconds
     */
    public BackendConnection acquireIdle(long nowUs) {
        Iterator<BackendConnection> mostRecentFirst = idleConnections.descendingIterator();
        while (mostRecentFirst.hasNext()) {
            BackendConnection connection = mostRecentFirst.next();
            if (nowUs - connection.idleSinceUs() >= MIN_IDLE_US) {
                mostRecentFirst.remove();
                connection.readNow(); // closes the connection if any bytes have arrived
                return connection.isClosed() ? acquireIdle(nowUs) : connection;
            }
        }
        return null;
    }

    /** Adds a new connection to the backend; it becomes idle only by {@link #release}. */
    public void add(BackendConnection connection) {
        openConnections.add(connection);
    }

    /** Takes back a connection that is free for another attempt, or closes it if the backend has been withdrawn. */
    void release(BackendConnection connection) {
        if (listed && !superseded) {
            idleConnections.addLast(connection);
        } else {
            connection.close();
        }
    }

    /** Removes a connection that has been closed. */
    void remove(BackendConnection connection) {
        openConnections.remove(connection);
        idleConnections.remove(connection);
    }

    BackendConnection longestIdle() {
        return idleConnections.peekFirst();
    }

    /** Adds the open connections to a collection. */
    void collectConnections(Collection<? super BackendConnection> to) {
        to.addAll(openConnections);
    }

    /** Closes all connections. */
    public void closeAll() {
        while (!openConnections.isEmpty()) {
            openConnections.iterator().next().close();
        }
    }

    private void closeIdle() {
        while (!idleConnections.isEmpty()) {
            idleConnections.peekLast().close();
        }
    }

    /**
     * Closes connections that became idle before a time. To be used before the backend's own idle timeout closes them,
     * since an attempt that is sent just as the backend closes the connection is reset.
     */
    public void closeIdleSince(long beforeUs) {
        while (!idleConnections.isEmpty() && idleConnections.peekFirst().idleSinceUs() < beforeUs) {
            idleConnections.peekFirst().close();
        }
    }
}
