package hopdrum.frontdoor.connection;

import hopdrum.host.Endpoint;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Set;

/** The connections to one backend; those that wait are used again last used first. */
public final class ConnectionPool {
    private static final long REST_US = 2_000;
    public final long backend;
    final boolean isDoor; // a front door of another tier: what it answers is the client's
    private InetSocketAddress address;
    private final Set<BackendConnection> open = new HashSet<>(); // one goes as it is closed
    private final Deque<BackendConnection> idle = new ArrayDeque<>(); // longest idle first; the same
    private boolean listed = true;
    private boolean mayBegin = true;

    ConnectionPool(long backend, InetSocketAddress address, boolean isDoor) {
        this.backend = backend;
        this.isDoor = isDoor;
        this.address = address;
    }

    public InetSocketAddress address() {
        return address;
    }

    /** A backend that moved, or started anew: what stands open leads to what it was. */
    void moveTo(InetSocketAddress now) {
        if (!now.equals(address)) {
            address = now;
            closeIdle();
        }
    }

    /** What discovery says of it now. */
    void told(Endpoint.State state) {
        mayBegin = state == Endpoint.State.READY;
        listed(state != Endpoint.State.GONE);
    }

    void listed(boolean isListed) {
        listed = isListed;
        mayBegin &= listed;
        if (!listed) {
            closeIdle();
        }
    }

    /** False once it was told to drain or withdrawn: an attempt whose connection comes up then is not begun. */
    boolean mayBegin() {
        return mayBegin;
    }

    boolean isListed() {
        return listed;
    }

    boolean isEmpty() {
        return open.isEmpty();
    }

    /**
     * The last used of those that have rested. Guards against bytes that come just behind an answer (a second copy of
     * it): they must not be there, or on their way, when the next attempt is written.
     */
    public BackendConnection takeIdle(long nowUs) {
        Iterator<BackendConnection> lastUsedFirst = idle.descendingIterator();
        while (lastUsedFirst.hasNext()) {
            BackendConnection connection = lastUsedFirst.next();
            if (nowUs - connection.idleSinceUs() >= REST_US) {
                lastUsedFirst.remove();
                connection.readNow(); // closes it if there is anything
                return connection.isClosed() ? takeIdle(nowUs) : connection;
            }
        }
        return null;
    }

    public void opened(BackendConnection connection) {
        open.add(connection);
    }

    void keep(BackendConnection connection) {
        if (listed) {
            idle.addLast(connection);
        } else {
            connection.close();
        }
    }

    void forget(BackendConnection connection) {
        open.remove(connection);
        idle.remove(connection);
    }

    BackendConnection longestIdle() {
        return idle.peekFirst();
    }

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

    /** Guards against an attempt that crosses the backend's own closing of an idle connection: that is a reset. */
    public void closeIdleSince(long beforeUs) {
        while (!idle.isEmpty() && idle.peekFirst().idleSinceUs() < beforeUs) {
            idle.peekFirst().close();
        }
    }
}
