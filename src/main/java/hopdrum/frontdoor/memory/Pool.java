package hopdrum.frontdoor.memory;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/** The connections to one backend; those that wait are used again last used first. */
public final class Pool {
    public final long backend;
    private InetSocketAddress address;
    private final Set<BackendConnection> open = new HashSet<>();        // one goes as it is closed
    private final Deque<BackendConnection> idle = new ArrayDeque<>();   // longest idle first; the same
    private boolean listed = true;

    Pool(long backend, InetSocketAddress address) {
        this.backend = backend;
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

    void listed(boolean isListed) {
        listed = isListed;
        if (!listed) {
            closeIdle();
        }
    }

    boolean isListed() {
        return listed;
    }

    boolean isEmpty() {
        return open.isEmpty();
    }

    public BackendConnection takeIdle() {
        return idle.pollLast();
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

    /** Guards against a call-out that crosses the backend's own closing of an idle connection: that is a reset. */
    public void closeIdleSince(long beforeUs) {
        while (!idle.isEmpty() && idle.peekFirst().idleSinceUs() < beforeUs) {
            idle.peekFirst().close();
        }
    }
}
