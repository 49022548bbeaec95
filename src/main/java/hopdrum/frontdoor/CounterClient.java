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

/**
 * Calls the counter over a few connections. All calls for one name use the same connection, so that their responses
 * arrive in order.
 */
final class CounterClient implements CounterConnection.Listener {
    private static final Log LOG = new Log("counter");
    private static final int CONNECTION_COUNT = 2;
    private static final long MIN_STALL_LIMIT_US = 250_000;
    private static final long MAX_STALL_LIMIT_US = 8_000_000;

    /** Is notified when calls end. */
    interface Listener {
        /** Called when a call has ended; see {@link CounterConnection.Listener#callEnded}. */
        void callEnded(long name, Outcome outcome, double total, long tookUs);
    }

    private final EventLoop loop;
    private SocketAddress address; // null if there is no counter
    private final long timeoutUs;
    private final ResourceBudget budget;
    private final Listener listener;
    private long stallLimitUs = MIN_STALL_LIMIT_US; // how long a connection may be silent before it is replaced
    private long lastResponseUs;
    private final CounterConnection[] connections = new CounterConnection[CONNECTION_COUNT];
    // Connections to former addresses; each is removed when it closes.
    private final List<CounterConnection> draining = new ArrayList<>();

    CounterClient(EventLoop loop, SocketAddress address, long timeoutUs, ResourceBudget budget, Listener listener) {
        this.loop = loop;
        this.address = address;
        this.timeoutUs = timeoutUs;
        this.budget = budget;
        this.listener = listener;
        loop.scheduleAfter(MIN_STALL_LIMIT_US, this::replaceStalledConnections);
    }

    /**
     * Sends new calls to another address. Pending calls end on their present connections.
     *
     * @param newAddress the counter's address; null if there is no counter
     */
    void updateAddress(SocketAddress newAddress) {
        if (Objects.equals(newAddress, address)) {
            return;
        }
        address = newAddress;
        stallLimitUs = MIN_STALL_LIMIT_US;
        for (int i = 0; i < CONNECTION_COUNT; i++) {
            CounterConnection former = connections[i];
            connections[i] = null;
            if (former != null) {
                draining.add(former);
                former.drain();
            }
        }
    }

    /** Adds an amount to the count of a name. The listener is notified of the outcome after this method returns. */
    void add(long name, double amount, long timeToLiveMs) {
        int index = Math.floorMod(Long.hashCode(name), CONNECTION_COUNT);
        try {
            if (connections[index] == null && address != null) {
                connections[index] = new CounterConnection(loop, address, timeoutUs, budget, this);
            }
            if (connections[index] != null && connections[index].sendCall(name, amount, timeToLiveMs)) {
                return;
            }
        } catch (IOException e) {
            LOG.warning("cannot open a connection to the counter", e.getMessage());
        }
        loop.runAfterCurrentEvent(() -> listener.callEnded(name, Outcome.CONNECT_FAILED, 0, 0));
    }

    @Override
    public void callEnded(long name, Outcome outcome, double total, long tookUs) {
        if (outcome == Outcome.OK) {
            stallLimitUs = MIN_STALL_LIMIT_US;
            lastResponseUs = loop.nowUs();
        } else {
            LOG.warning("a call to the counter failed with outcome " + outcome, null);
        }
        listener.callEnded(name, outcome, total, tookUs);
    }

    /**
     * Replaces connections that are open but unresponsive, for example after the counter's machine has failed. The time
     * limit doubles with each replacement, because the counter may still hold the old connections, and it accepts at
     * most 32.
     */
    private void replaceStalledConnections() {
        boolean replaced = false;
        for (CounterConnection connection : openConnections()) {
            if (connection.isStalled(stallLimitUs)) {
                LOG.warning("replaced an unresponsive connection to the counter", null);
                connection.abandon();
                replaced = true;
            }
        }
        stallLimitUs = replaced ? Math.min(MAX_STALL_LIMIT_US, 2 * stallLimitUs) : stallLimitUs;
        loop.scheduleAfter(MIN_STALL_LIMIT_US / 4, this::replaceStalledConnections);
    }

    @Override
    public boolean hasRespondedSince(long sinceUs) {
        return lastResponseUs > sinceUs;
    }

    @Override
    public void connectionClosed(CounterConnection connection) {
        draining.remove(connection);
        for (int i = 0; i < CONNECTION_COUNT; i++) {
            if (connections[i] == connection) {
                connections[i] = null;
            }
        }
    }

    /** Closes all connections. */
    void close() {
        openConnections().forEach(CounterConnection::close);
    }

    private List<CounterConnection> openConnections() {
        List<CounterConnection> open = new ArrayList<>(draining);
        for (CounterConnection connection : connections) {
            if (connection != null) {
                open.add(connection);
            }
        }
        return open;
    }
}
