package hopdrum.frontdoor;

import hopdrum.frontdoor.connection.CounterConnection;
import hopdrum.frontdoor.connection.ResourceBudget;
import hopdrum.frontdoor.lifecycle.EventLoop;
import hopdrum.frontdoor.lifecycle.Log;
import hopdrum.host.Outcome;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/** Calls the counter over a few connections. A name keeps to one of them, so that its responses arrive in order. */
final class CounterClient implements CounterConnection.Listener {
    private static final Log LOG = new Log("counter");
    private static final int CONNECTIONS = 2;
    private static final long MIN_STALL_US = 250_000;
    private static final long MAX_STALL_US = 8_000_000;

    /** Is notified of the ends of calls. */
    interface Listener {
        /** See {@link CounterConnection.Listener#callEnded}. */
        void callEnded(long name, Outcome outcome, double total, long tookUs);
    }

    private final EventLoop loop;
    private SocketAddress address; // null without a counter
    private final long timeoutUs;
    private final ResourceBudget budget;
    private final Listener listener;
    private long stallUs = MIN_STALL_US; // after which a silent connection is replaced
    private long lastResponseUs;
    private final CounterConnection[] connections = new CounterConnection[CONNECTIONS];
    private final List<CounterConnection> draining = new ArrayList<>(); // to former addresses; removed when closed

    CounterClient(EventLoop loop, SocketAddress address, long timeoutUs, ResourceBudget budget, Listener listener) {
        this.loop = loop;
        this.address = address;
        this.timeoutUs = timeoutUs;
        this.budget = budget;
        this.listener = listener;
        loop.scheduleAfter(MIN_STALL_US, this::replaceStalledConnections);
    }

    /** New calls go to that address at once; pending calls end on their connections. Null if there is no counter. */
    void updateAddress(SocketAddress current) {
        if (Objects.equals(current, address)) {
            return;
        }
        address = current;
        stallUs = MIN_STALL_US;
        for (int i = 0; i < CONNECTIONS; i++) {
            CounterConnection old = connections[i];
            connections[i] = null;
            if (old != null) {
                draining.add(old);
                old.drain();
            }
        }
    }

    /** Adds an amount to a name; the listener is notified of how it ended, never before this returns. */
    void add(long name, double amount, long timeToLiveMs) {
        int index = Math.floorMod(Long.hashCode(name), CONNECTIONS);
        try {
            if (connections[index] == null && address != null) {
                connections[index] = new CounterConnection(loop, address, timeoutUs, budget, this);
            }
            if (connections[index] != null && connections[index].sendCall(name, amount, timeToLiveMs)) {
                return;
            }
        } catch (IOException e) {
            LOG.warning("no connection to the counter", e.getMessage());
        }
        loop.runAfterCurrentEvent(() -> listener.callEnded(name, Outcome.CONNECT_FAILED, 0, 0));
    }

    @Override
    public void callEnded(long name, Outcome outcome, double total, long tookUs) {
        if (outcome == Outcome.OK) {
            stallUs = MIN_STALL_US;
            lastResponseUs = loop.nowUs();
        } else {
            LOG.warning("a call to the counter ended as " + outcome, null);
        }
        listener.callEnded(name, outcome, total, tookUs);
    }

    /**
     * Replaces connections that stand open and silent, as after the counter's machine vanished. The wait doubles each
     * time, since the counter may still hold the old connections, and it holds 32 at most.
     */
    private void replaceStalledConnections() {
        boolean replaced = false;
        for (CounterConnection connection : all()) {
            if (connection.isStalled(stallUs)) {
                LOG.warning("a connection to the counter is silent and replaced", null);
                connection.abandon();
                replaced = true;
            }
        }
        stallUs = replaced ? Math.min(MAX_STALL_US, 2 * stallUs) : stallUs;
        loop.scheduleAfter(MIN_STALL_US / 4, this::replaceStalledConnections);
    }

    @Override
    public boolean hasRespondedSince(long us) {
        return lastResponseUs > us;
    }

    @Override
    public void connectionClosed(CounterConnection connection) {
        draining.remove(connection);
        for (int i = 0; i < CONNECTIONS; i++) {
            if (connections[i] == connection) {
                connections[i] = null;
            }
        }
    }

    /** Closes all connections. */
    void close() {
        all().forEach(CounterConnection::close);
    }

    private List<CounterConnection> all() {
        List<CounterConnection> all = new ArrayList<>(draining);
        for (CounterConnection connection : connections) {
            if (connection != null) {
                all.add(connection);
            }
        }
        return all;
    }
}
