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

/** The few connections to the counter. A name keeps to one of them, so that its answers come in order. */
final class CounterClient implements CounterConnection.Owner {
    private static final Log LOG = new Log("counter");
    private static final int CONNECTIONS = 2;
    private static final long STUCK_US = 250_000;
    private static final long MOST_STUCK_US = 8_000_000;

    /** Who is told how calls end. */
    interface Owner {
        void counted(long name, Outcome outcome, double total, long tookUs);
    }

    private final EventLoop loop;
    private SocketAddress address; // null without a counter
    private final long timeOutUs;
    private final ResourceBudget budget;
    private final Owner owner;
    private long stuckUs = STUCK_US;
    private long answeredUs;
    private final CounterConnection[] connections = new CounterConnection[CONNECTIONS];
    private final List<CounterConnection> leaving = new ArrayList<>(); // to where it was; one goes as it is closed

    CounterClient(EventLoop loop, SocketAddress address, long timeOutUs, ResourceBudget budget, Owner owner) {
        this.loop = loop;
        this.address = address;
        this.timeOutUs = timeOutUs;
        this.budget = budget;
        this.owner = owner;
        loop.in(STUCK_US, this::check);
    }

    /** New calls go there at once; those under way end where they are. */
    void moveTo(SocketAddress now) {
        if (Objects.equals(now, address)) {
            return;
        }
        address = now;
        stuckUs = STUCK_US;
        for (int i = 0; i < CONNECTIONS; i++) {
            CounterConnection old = connections[i];
            connections[i] = null;
            if (old != null) {
                leaving.add(old);
                old.closeOnceAnswered();
            }
        }
    }

    void add(long name, double amount, long lifeMs) {
        int slot = Math.floorMod(Long.hashCode(name), CONNECTIONS);
        try {
            if (connections[slot] == null && address != null) {
                connections[slot] = new CounterConnection(loop, address, timeOutUs, budget, this);
            }
            if (connections[slot] != null && connections[slot].call(name, amount, lifeMs)) {
                return;
            }
        } catch (IOException e) {
            LOG.warning("no connection to the counter", e.getMessage());
        }
        loop.runAfterCurrentEvent(() -> owner.counted(name, Outcome.CONNECT_FAILED, 0, 0));
    }

    @Override
    public void counted(long name, Outcome outcome, double total, long tookUs) {
        if (outcome == Outcome.OK) {
            stuckUs = STUCK_US;
            answeredUs = loop.nowUs();
        } else {
            LOG.warning("a call to the counter ended as " + outcome, null);
        }
        owner.counted(name, outcome, total, tookUs);
    }

    /**
     * Guards against a connection that stands open and silent (a counter that vanished): a new one takes its place.
     * Later each time, since the counter may hold the old ones still, and it holds 32 at most.
     */
    private void check() {
        boolean replaced = false;
        for (CounterConnection connection : all()) {
            if (connection.isStuck(stuckUs)) {
                LOG.warning("a connection to the counter is silent and replaced", null);
                connection.giveUp();
                replaced = true;
            }
        }
        stuckUs = replaced ? Math.min(MOST_STUCK_US, 2 * stuckUs) : stuckUs;
        loop.in(STUCK_US / 4, this::check);
    }

    @Override
    public boolean answeredSince(long us) {
        return answeredUs > us;
    }

    @Override
    public void released(CounterConnection connection) {
        leaving.remove(connection);
        for (int i = 0; i < CONNECTIONS; i++) {
            if (connections[i] == connection) {
                connections[i] = null;
            }
        }
    }

    void close() {
        all().forEach(CounterConnection::close);
    }

    private List<CounterConnection> all() {
        List<CounterConnection> all = new ArrayList<>(leaving);
        for (CounterConnection connection : connections) {
            if (connection != null) {
                all.add(connection);
            }
        }
        return all;
    }
}
