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

/** Accepts clients' connections on the listening socket and keeps track of them until they close. */
final class ClientListener implements EventLoop.ChannelHandler, ClientConnection.Listener {
    private static final Log LOG = new Log("clients");
    private static final int BACKLOG = 1024;
    private static final long PAUSE_US = 50_000;
    private static final long MIN_IDLE_US = 250_000;
    private static final long MIN_SILENT_US = 50_000;
    private static final int MAX_ACCEPTED_AT_ONCE = 32; // a burst of clients must not delay requests in flight

    /** Handles clients' requests. */
    interface RequestListener {
        /**
         * A request stands at the front of the client's receive buffer.
         *
         * @throws MalformedMessageException if it is rejected; the exception's status is the response
         */
        void requestReceived(ClientConnection client) throws MalformedMessageException;

        /** A client has disconnected while its request was in flight. */
        void clientDisconnected(ClientConnection client);

        /** Whether the front door can handle requests: what the readiness endpoint reports. */
        boolean isReady();
    }

    private final EventLoop loop;
    private final ResourceBudget budget;
    private final RequestListener requests;
    private final ServerSocketChannel listener;
    private SelectionKey key; // null until startAccepting()
    // A connection is removed from each set when it closes.
    private final Set<ClientConnection> open = new LinkedHashSet<>();
    private final Set<ClientConnection> silent = new LinkedHashSet<>(); // have not sent anything yet
    private final Set<ClientConnection> lingering = new LinkedHashSet<>(); // have had their last response
    private final Set<ClientConnection> idle = new LinkedHashSet<>(); // longest idle first
    private boolean paused;
    private boolean draining;

    /** Binds the listening socket. Connections are not accepted before {@link #startAccepting()}. */
    ClientListener(EventLoop loop, SocketAddress listen, ResourceBudget budget, RequestListener requests)
            throws IOException {
        this.loop = loop;
        this.budget = budget;
        this.requests = requests;
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

    /** Starts to accept connections; until then they wait in the listening socket's queue. */
    void startAccepting() throws IOException {
        if (key == null && listener.isOpen()) {
            key = listener.register(loop.selector(), SelectionKey.OP_ACCEPT, this);
        }
    }

    /** The address that the socket is bound to. */
    SocketAddress address() throws IOException {
        return listener.getLocalAddress();
    }

    @Override
    public void channelReady(SelectionKey ready) throws IOException {
        accept();
    }

    private void accept() throws IOException {
        for (int i = 0; i < MAX_ACCEPTED_AT_ONCE && listener.isOpen(); i++) {
            if (!budget.hasRoomForClient() && i > 0) {
                return; // the selector reports a further one
            }
            if (!budget.hasRoomForClient()) {
                evictClient();
            }
            if (!budget.hasRoomForClient()) {
                pauseAccepting("no descriptor or memory left for more clients");
                return;
            }
            SocketChannel channel = listener.accept();
            if (channel == null) {
                return;
            }
            budget.clientOpened();
            try {
                ClientConnection client = new ClientConnection(loop, channel, budget, this);
                open.add(client);
                silent.add(client);
            } catch (IOException e) {
                budget.clientClosed();
                LOG.warning("a client's connection ended at once", e.getMessage());
            }
        }
    }

    /**
     * Closes one connection on which nothing is in flight: first one that lingers after its last response, then one
     * that has not sent anything yet, then an idle one. A request that a client has just sent must not be lost: a
     * connection with bytes to read is not idle, and a client that connected or had a response a moment ago may be
     * sending.
     */
    private void evictClient() {
        if (!lingering.isEmpty() && loop.nowUs() - lingering.iterator().next().idleSinceUs() >= MIN_SILENT_US) {
            lingering.iterator().next().close();
        } else if (!evictLongestIdle(silent, MIN_SILENT_US)) {
            evictLongestIdle(idle, MIN_IDLE_US);
        }
    }

    private boolean evictLongestIdle(Set<ClientConnection> candidates, long minIdleUs) {
        while (!candidates.isEmpty()) {
            ClientConnection longest = candidates.iterator().next();
            if (loop.nowUs() - longest.idleSinceUs() < minIdleUs) {
                return false;
            }
            if (closeIfIdle(longest)) {
                LOG.info("a client's connection without a request is closed to make room", null);
                return true;
            }
            candidates.remove(longest);
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

    /** Unlike {@link #closeIfIdle}, leaves time for a request that crosses the close: it meets no reset. */
    private static void closeGracefullyIfIdle(ClientConnection client) {
        client.readNow();
        if (client.isIdle()) {
            client.closeGracefully();
        }
    }

    private void pauseAccepting(String reason) {
        LOG.warning("accepting pauses", reason);
        if (!paused && key != null && key.isValid()) {
            paused = true;
            key.interestOps(0); // else the loop would spin on a connection that it cannot accept
            loop.scheduleAfter(PAUSE_US, this::resumeAccepting);
        }
    }

    private void resumeAccepting() {
        if (paused && key.isValid()) {
            paused = false;
            key.interestOps(SelectionKey.OP_ACCEPT);
        }
    }

    @Override
    public void channelFailed(Exception e) {
        pauseAccepting(e.getMessage());
    }

    @Override
    public void messageReceived(ClientConnection client) throws MalformedMessageException {
        if (RequestHead.isReadinessCheck(client.receiveBuffer())) {
            client.respond(requests.isReady() && !draining ? 200 : 503, 0, false);
        } else {
            requests.requestReceived(client);
        }
    }

    @Override
    public void connectionIdle(ClientConnection client) {
        idle.add(client);
        if (draining && !listener.isOpen()) {
            closeGracefullyIfIdle(client);
        }
    }

    @Override
    public void connectionBusy(ClientConnection client) {
        idle.remove(client);
        silent.remove(client);
    }

    @Override
    public void connectionLingering(ClientConnection client) {
        lingering.add(client);
    }

    @Override
    public void clientDisconnected(ClientConnection client) {
        requests.clientDisconnected(client);
    }

    @Override
    public void connectionClosed(ClientConnection client) {
        budget.clientClosed();
        idle.remove(client);
        silent.remove(client);
        lingering.remove(client);
        open.remove(client);
        if (paused) {
            loop.runAfterCurrentEvent(this::resumeAccepting);
        }
    }

    @Override
    public boolean closesAfterResponse(boolean moreReceived) {
        if (moreReceived && listener.isOpen()) {
            return false; // responses are owed to all requests that arrive while connections are still accepted
        }
        return draining || paused; // while others wait for room a client has to come back on a new connection
    }

    /** Starts the graceful shutdown: from now on each response is its connection's last. */
    void startDraining() {
        draining = true;
    }

    /** Accepts the connections that are queued by now and no further ones, and closes idle connections. */
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
        new ArrayList<>(open).forEach(ClientListener::closeGracefullyIfIdle);
    }

    /** Whether no client is connected. */
    boolean isEmpty() {
        return open.isEmpty();
    }

    /** Closes the listening socket and all connections. */
    void close() throws IOException {
        listener.close();
        new ArrayList<>(open).forEach(ClientConnection::close);
    }
}
