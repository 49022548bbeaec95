package hopdrum.frontdoor;

import hopdrum.frontdoor.connection.ClientConnection;
import hopdrum.frontdoor.connection.ResourceBudget;
import hopdrum.frontdoor.lifecycle.EventLoop;
import hopdrum.frontdoor.lifecycle.Log;
import hopdrum.frontdoor.wire.MalformedMessageException;
import hopdrum.frontdoor.wire.RequestHead;
import java.io.IOException;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;

/** The listening socket and the connections that clients opened. */
final class ClientListener implements EventLoop.ChannelHandler, ClientConnection.Owner {
    private static final Log LOG = new Log("clients");
    private static final int BACKLOG = 1024;
    private static final long PAUSE_US = 50_000;
    private static final long LEAST_IDLE_US = 250_000;
    private static final long LEAST_SILENT_US = 50_000;
    private static final int MOST_AT_ONCE = 32; // accepted: guards what is under way against a burst

    /** Who takes RPCs. */
    interface Owner {
        void take(ClientConnection client) throws MalformedMessageException;

        void left(ClientConnection client);

        boolean isReady();
    }

    private final EventLoop loop;
    private final ResourceBudget budget;
    private final Owner owner;
    private final ServerSocketChannel listener;
    private SelectionKey key; // null until open()
    private final Set<ClientConnection> open = new LinkedHashSet<>(); // one goes as it is closed
    private final Set<ClientConnection> silent = new LinkedHashSet<>(); // have not said anything yet; the same
    private final Set<ClientConnection> lingering = new LinkedHashSet<>(); // have their last answer; the same
    private final Set<ClientConnection> idle = new LinkedHashSet<>(); // longest idle first; the same
    private boolean paused;
    private boolean stopping;

    ClientListener(EventLoop loop, SocketAddress listen, ResourceBudget budget, Owner owner) throws IOException {
        this.loop = loop;
        this.budget = budget;
        this.owner = owner;
        listener = ServerSocketChannel.open();
        try {
            listener.configureBlocking(false);
            listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            listener.bind(listen, BACKLOG);
        } catch (IOException | RuntimeException e) {
            listener.close();
            throw e;
        }
    }

    /** From now on what has connected is accepted; until then it waits in the listening socket's queue. */
    void open() throws IOException {
        if (key == null && listener.isOpen()) {
            key = listener.register(loop.selector(), SelectionKey.OP_ACCEPT, this);
        }
    }

    SocketAddress address() throws IOException {
        return listener.getLocalAddress();
    }

    @Override
    public void ready(SelectionKey ready) throws IOException {
        accept();
    }

    private void accept() throws IOException {
        for (int i = 0; i < MOST_AT_ONCE && listener.isOpen(); i++) {
            if (!budget.clientFits() && i > 0) {
                return; // the selector tells if there is another
            }
            if (!budget.clientFits()) {
                shed();
            }
            if (!budget.clientFits()) {
                pause("no descriptor or memory left for more clients");
                return;
            }
            SocketChannel channel = listener.accept();
            if (channel == null) {
                return;
            }
            budget.client(1);
            try {
                ClientConnection client = new ClientConnection(loop, channel, budget, this);
                open.add(client);
                silent.add(client);
            } catch (IOException e) {
                budget.client(-1);
                LOG.warning("a client's connection ended at once", e.getMessage());
            }
        }
    }

    /**
     * Clients that wait for nothing lose their connection first: those that have their last answer, those that came and
     * say nothing, those idle. Guards against losing what a client has just sent: one whose bytes are there already is
     * not idle, and one that came or was answered a moment ago may be writing.
     */
    private void shed() {
        if (!lingering.isEmpty() && loop.nowUs() - lingering.iterator().next().idleSinceUs() >= LEAST_SILENT_US) {
            lingering.iterator().next().close();
        } else if (!shed(silent, LEAST_SILENT_US)) {
            shed(idle, LEAST_IDLE_US);
        }
    }

    private boolean shed(Set<ClientConnection> from, long leastUs) {
        while (!from.isEmpty()) {
            ClientConnection longest = from.iterator().next();
            if (loop.nowUs() - longest.idleSinceUs() < leastUs) {
                return false;
            }
            if (closeIfIdle(longest)) {
                LOG.info("a client's connection without an RPC is closed to make room", null);
                return true;
            }
            from.remove(longest);
        }
        return false;
    }

    private static boolean closeIfIdle(ClientConnection client) {
        client.readNow();
        boolean isIdle = client.isIdle();
        if (isIdle) {
            client.close();
        }
        return isIdle;
    }

    /** There is time: what crosses the end on its way here meets no reset. */
    private static void finishIfIdle(ClientConnection client) {
        client.readNow();
        if (client.isIdle()) {
            client.finish();
        }
    }

    private void pause(String why) {
        LOG.warning("accepting pauses", why);
        if (!paused && key != null && key.isValid()) {
            paused = true;
            key.interestOps(0); // guards against a loop that spins on a connection that it cannot take
            loop.in(PAUSE_US, this::resume);
        }
    }

    private void resume() {
        if (paused && key.isValid()) {
            paused = false;
            key.interestOps(SelectionKey.OP_ACCEPT);
        }
    }

    @Override
    public void failed(Exception e) {
        pause(e.getMessage());
    }

    @Override
    public void arrived(ClientConnection client) throws MalformedMessageException {
        if (RequestHead.isReadinessCheck(client.bytes())) {
            client.answer(owner.isReady() && !stopping ? 200 : 503, 0, false);
        } else {
            owner.take(client);
        }
    }

    @Override
    public void idle(ClientConnection client) {
        idle.add(client);
        if (stopping && !listener.isOpen()) {
            finishIfIdle(client);
        }
    }

    @Override
    public void busy(ClientConnection client) {
        idle.remove(client);
        silent.remove(client);
    }

    @Override
    public void lingers(ClientConnection client) {
        lingering.add(client);
    }

    @Override
    public void left(ClientConnection client) {
        owner.left(client);
    }

    @Override
    public void released(ClientConnection client) {
        budget.client(-1);
        idle.remove(client);
        silent.remove(client);
        lingering.remove(client);
        open.remove(client);
        if (paused) {
            loop.runAfterCurrentEvent(this::resume);
        }
    }

    @Override
    public boolean closesWithAnswer(boolean moreIsHere) {
        if (moreIsHere && listener.isOpen()) {
            return false; // what has been taken is owed an answer; it has half a second for them once the process ends
        }
        return stopping || paused; // while others wait for room a client is told to come back on a new connection
    }

    /** From now on each answer is its connection's last. */
    void stop() {
        stopping = true;
    }

    /** What has connected by now is still served; nothing more is accepted, and idle connections close. */
    void stopAccepting() {
        try {
            for (int before = -1; before != open.size() && !paused; ) {
                before = open.size();
                accept();
            }
            listener.close();
        } catch (IOException e) {
            LOG.warning("the listening socket did not close cleanly", e.getMessage());
        }
        new ArrayList<>(open).forEach(ClientListener::finishIfIdle);
    }

    boolean isEmpty() {
        return open.isEmpty();
    }

    void close() throws IOException {
        listener.close();
        new ArrayList<>(open).forEach(ClientConnection::close);
    }
}
