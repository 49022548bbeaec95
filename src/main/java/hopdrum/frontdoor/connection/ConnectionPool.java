package hopdrum.frontdoor.connection;

import hopdrum.host.Endpoint;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Set;

/** The connections to one backend. Idle ones are used again, last used first. */
public final class ConnectionPool {
    private static final long MIN_REST_US = 2_000;
    private final long backendId;
    private final boolean partner;
    private InetSocketAddress address;
    private final Set<BackendConnection> open = new HashSet<>(); // a connection removes itself when it closes
    private final Deque<BackendConnection> idle = new ArrayDeque<>(); // of those open, longest idle first
    private boolean listed = true;
    private boolean accepting = true;

    ConnectionPool(long backendId, InetSocketAddress address, boolean partner) {
        this.backendId = backendId;
        this.partner = partner;
        this.address = address;
    }

    /** The number by which Policy knows the backend. */
    public long backendId() {
        return backendId;
    }

    /** Whether the backend is a partner's front door: its response, whatever its status, is the client's. */
    boolean isPartner() {
        return partner;
    }

    /** Where new connections go. */
    public InetSocketAddress address() {
        return address;
    }

    /** The backend moved or restarted: idle connections lead to its old address and are closed. */
    void updateAddress(InetSocketAddress current) {
        if (!current.equals(address)) {
            address = current;
            closeIdle();
        }
    }

    /** Takes over the state that the endpoint list gives for the backend. */
    void updateState(Endpoint.State state) {
        accepting = state == Endpoint.State.READY;
        setListed(state != Endpoint.State.GONE);
    }

    /** Whether the endpoint list names the backend; the idle connections of a withdrawn one are closed. */
    void setListed(boolean isListed) {
        listed = isListed;
        accepting &= listed;
        if (!listed) {
            closeIdle();
        }
    }

    /** False once the backend is draining or withdrawn: no attempt may be written to it any more. */
    boolean acceptsAttempts() {
        return accepting;
    }

    boolean isListed() {
        return listed;
    }

    boolean isEmpty() {
        return open.isEmpty();
    }

    /**
     * Takes the last used idle connection that has rested, or null. Bytes that arrive just behind a response (a second
     * copy of it) must not be there, or on their way, when the next attempt is written.
     */
    public BackendConnection acquireIdle(long nowUs) {
        Iterator<BackendConnection> lastUsedFirst = idle.descendingIterator();
        while (lastUsedFirst.hasNext()) {
            BackendConnection connection = lastUsedFirst.next();
            if (nowUs - connection.idleSinceUs() >= MIN_REST_US) {
                lastUsedFirst.remove();
                connection.readNow(); // closes it if there is anything
                return connection.isClosed() ? acquireIdle(nowUs) : connection;
            }
        }
        return null;
    }

    /** Adds a connection that was opened to the backend. */
    public void add(BackendConnection connection) {
        open.add(connection);
    }

    /** Takes back a connection that is free for another attempt; closes it if the backend was withdrawn. */
    void release(BackendConnection connection) {
        if (listed) {
            idle.addLast(connection);
        } else {
            connection.close();
        }
    }

    /** Forgets a connection that was closed. */
    void remove(BackendConnection connection) {
        open.remove(connection);
        idle.remove(connection);
    }

    BackendConnection longestIdle() {
        return idle.peekFirst();
    }

    /** Closes all connections. */
    public void closeAll() {
        while (!open.isEmpty()) {
            open.iterator().next().close();
        }
    }

    private void closeIdle() {
        while (!idle.isEmpty()) {
            idle.peekLast().close();
        }
    }

    /** Closes connections before the backend's own idle limit does: an attempt that crosses that close is reset. */
    public void closeIdleSince(long beforeUs) {
        while (!idle.isEmpty() && idle.peekFirst().idleSinceUs() < beforeUs) {
            idle.peekFirst().close();
        }
    }
}
