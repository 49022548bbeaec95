package hopdrum.frontdoor;

import hopdrum.frontdoor.connection.ClientCloseReason;
import hopdrum.frontdoor.connection.ClientConnection;
import hopdrum.frontdoor.connection.ClientConnectionListener;
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
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;

/** Accepts client connections on the listening socket and keeps track of them until they close. */
final class ClientListener implements EventLoop.ChannelHandler, ClientConnectionListener {
    private static final Log LOG = new Log("clients");
    private static final int BACKLOG = 1024;
    private static final long ACCEPT_PAUSE_US = 50_000;
    private static final long MIN_IDLE_BEFORE_EVICTION_US = 250_000;
    private static final long MIN_SILENT_BEFORE_EVICTION_US = 50_000;
    private static final long MIN_STALL_BEFORE_EVICTION_US = 200_000; // in the middle of a request
    // Bounds how long a burst of new clients delays the requests in flight.
    private static final int MAX_ACCEPTS_PER_EVENT = 32;
    private static final int MAX_ACCEPT_FAILURES = 100; // in a row, at the end

    /** Handles the requests that clients send. */
    interface RequestListener {
        /**
         * Called when a complete request is at the front of the client's receive buffer.
         *
         * @throws MalformedMessageException if the request is rejected; the client receives the exception's status
         */
        void requestReceived(ClientConnection client) throws MalformedMessageException;

        /**
         * The longest time, in microseconds, for which the complete request at the front of the client's receive buffer
         * may wait until it is known whether the client has left; 0 or less if it may not wait.
         */
        long maxDeferralUs(ClientConnection client);

        /** Called when a client has disconnected while its request was in flight. */
        void clientDisconnected(ClientConnection client);

        /** Called when a client has pipelined more requests than its connection keeps, and one has been rejected. */
        void excessRequestRejected();

        /** Called when a client's connection has been closed. */
        void connectionClosed(ClientCloseReason reason);

        /** Whether the front door can handle requests, as reported by the readiness endpoint. */
        boolean isReady();
    }

    private final EventLoop loop;
    private final ResourceBudget budget;
    private final RequestListener requests;
    private final ServerSocketChannel listeningSocket;
    private final AcceptQueue acceptQueue;
    private SelectionKey acceptKey; // null until startAccepting()
    // A connection is removed from all of these sets when it closes.
    private final Set<ClientConnection> openClients = new LinkedHashSet<>();
    private final Set<ClientConnection> silentClients = new LinkedHashSet<>(); // have not sent a byte yet
    private final Set<ClientConnection> lingeringClients = new LinkedHashSet<>(); // were sent their last response
    private final Set<ClientConnection> idleClients = new LinkedHashSet<>(); // longest idle first
    private boolean paused;
    private boolean draining;
    private boolean stopsReading;

    /** Binds the listening socket. No connection is accepted before {@link #startAccepting()}. */
    ClientListener(EventLoop loop, SocketAddress listen, ResourceBudget budget, RequestListener requests)
            throws IOException {
        this.loop = loop;
        this.budget = budget;
        this.requests = requests;
        acceptQueue = new AcceptQueue(BACKLOG, loop.nowUs());
        listeningSocket = ServerSocketChannel.open();
        try {
            listeningSocket.configureBlocking(false);
            listeningSocket.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            listeningSocket.bind(listen, BACKLOG);
        } catch (IOException | RuntimeException e) {
            listeningSocket.close();
            throw e;
        }
    }

    /** Starts accepting connections. Until then, new connections wait in the backlog of the listening socket. */
    void startAccepting() throws IOException {
        if (acceptKey == null && listeningSocket.isOpen()) {
            acceptKey = listeningSocket.register(loop.selector(), SelectionKey.OP_ACCEPT, this);
        }
    }

    /** The address that the listening socket is bound to. */
    SocketAddress address() throws IOException {
        return listeningSocket.getLocalAddress();
    }

    @Override
    public void channelReady(SelectionKey readyKey) throws IOException {
        acceptPendingConnections();
    }

    private void acceptPendingConnections() throws IOException {
        for (int i = 0; i < MAX_ACCEPTS_PER_EVENT && listeningSocket.isOpen(); i++) {
            if (!budget.hasRoomForClient() && i > 0) {
                return; // the selector reports the remaining connections again
            }
            if (!budget.hasRoomForClient()) {
                evictClient();
            }
            if (!budget.hasRoomForClient()) {
                pauseAccepting("no file descriptor or buffer memory left for another client");
                return;
            }
            acceptQueue.mayHoldSince(loop.earliestArrivalUs());
            SocketChannel channel = listeningSocket.accept();
            if (channel == null) {
                acceptQueue.foundEmpty();
                return;
            }
            budget.clientOpened();
            long arrivedAtUs = acceptQueue.accepted(loop.nowUs());
            try {
                ClientConnection client = new ClientConnection(loop, channel, arrivedAtUs, budget, this);
                openClients.add(client);
                silentClients.add(client);
            } catch (IOException e) {
                budget.clientClosed();
                LOG.warning("cannot set up an accepted client connection", e.getMessage());
            }
        }
    }

    /**
     * Closes one connection that has no request in flight: preferably one that lingers after its last response, else
     * one on which no byte has arrived yet, else an idle one. If there is none, rejects the incomplete requests whose
     * clients have stopped sending, so that their connections linger and can be closed soon. No request that a client has just sent may be lost, so a
     * connection with bytes to read does not count as idle, and a connection that was accepted or sent a response only
     * recently is kept because its client may be about to send.
     */
    private void evictClient() {
        if (!lingeringClients.isEmpty()
                && loop.nowUs() - lingeringClients.iterator().next().idleSinceUs() >= MIN_SILENT_BEFORE_EVICTION_US) {
            lingeringClients.iterator().next().close(ClientCloseReason.EVICTED);
        } else if (!evictLongestIdle(silentClients, MIN_SILENT_BEFORE_EVICTION_US)
                && !evictLongestIdle(idleClients, MIN_IDLE_BEFORE_EVICTION_US)) {
            rejectStalledRequests();
        }
    }

    private void rejectStalledRequests() {
        long stalledBeforeUs = loop.nowUs() - MIN_STALL_BEFORE_EVICTION_US;
        for (ClientConnection client : new ArrayList<>(openClients)) {
            if (client.isStalledInRequest(stalledBeforeUs)) {
                client.transferNow(); // this loop may have been late rather than the client
                if (client.isStalledInRequest(stalledBeforeUs)) {
                    client.abandonTransfer();
                }
            }
        }
    }

    private boolean evictLongestIdle(Set<ClientConnection> candidates, long minIdleUs) {
        while (!candidates.isEmpty()) {
            ClientConnection longestIdle = candidates.iterator().next();
            if (loop.nowUs() - longestIdle.idleSinceUs() < minIdleUs) {
                return false;
            }
            if (closeIfIdle(longestIdle)) {
                LOG.info("closed a client connection without a request to make room for another", null);
                return true;
            }
            candidates.remove(longestIdle);
        }
        return false;
    }

    private static boolean closeIfIdle(ClientConnection client) {
        client.readNow();
        boolean isIdle = client.isIdle();
        if (isIdle) {
            client.close(ClientCloseReason.EVICTED);
        }
        return isIdle;
    }

    /**
     * Closes an idle connection like {@link #closeIfIdle}, but leaves time for a request that crosses the close, so
     * that the client sees no reset.
     */
    private static void closeGracefullyIfIdle(ClientConnection client) {
        client.readNow();
        if (client.isIdle()) {
            client.closeGracefully();
        }
    }

    private void pauseAccepting(String reason) {
        LOG.warning("paused accepting client connections", reason);
        if (!paused && acceptKey != null && acceptKey.isValid()) {
            paused = true;
            acceptQueue.mayHoldSince(loop.nowUs());
            acceptKey.interestOps(0); // else the loop would spin on a pending connection that has no room
            loop.scheduleAfter(ACCEPT_PAUSE_US, this::resumeAccepting);
        }
    }

    private void resumeAccepting() {
        if (paused && acceptKey.isValid()) {
            paused = false;
            acceptKey.interestOps(SelectionKey.OP_ACCEPT);
        }
    }

    @Override
    public void channelFailed(Exception e) {
        pauseAccepting(e.getMessage());
    }

    @Override
    public void messageReceived(ClientConnection client) throws MalformedMessageException {
        if (RequestHead.isReadinessCheck(client.messageBuffer())) {
            client.respond(requests.isReady() && !draining ? 200 : 503, 0, false);
        } else {
            requests.requestReceived(client);
        }
    }

    @Override
    public long maxDeferralUs(ClientConnection client) {
        return requests.maxDeferralUs(client);
    }

    @Override
    public void connectionIdle(ClientConnection client) {
        idleClients.add(client);
        if (draining && !listeningSocket.isOpen()) {
            closeGracefullyIfIdle(client);
        }
    }

    @Override
    public void connectionBusy(ClientConnection client) {
        idleClients.remove(client);
        silentClients.remove(client);
    }

    @Override
    public void connectionLingering(ClientConnection client) {
        lingeringClients.add(client);
    }

    @Override
    public void clientDisconnected(ClientConnection client) {
        requests.clientDisconnected(client);
    }

    @Override
    public void excessRequestRejected() {
        requests.excessRequestRejected();
    }

    @Override
    public void connectionClosed(ClientConnection client, ClientCloseReason reason) {
        requests.connectionClosed(reason);
        budget.clientClosed();
        idleClients.remove(client);
        silentClients.remove(client);
        lingeringClients.remove(client);
        openClients.remove(client);
        if (paused) {
            loop.runAfterCurrentEvent(this::resumeAccepting);
        }
    }

    @Override
    public boolean closesAfterResponse(boolean moreReceived) {
        if (moreReceived && !stopsReading) {
            return false; // each request that has been read gets a response
        }
        return draining || paused; // while paused, clients reconnect per request, so that all get room
    }

    /**
     * Starts the graceful shutdown: from now on a connection closes after a response, unless a further request has
     * already arrived on it.
     */
    void startDraining() {
        draining = true;
    }

    /** Accepts the connections in the backlog, closes the listening socket, and closes idle connections. */
    void stopAccepting() {
        acceptBacklog();
        try {
            listeningSocket.close();
        } catch (IOException e) {
            LOG.warning("closing the listening socket failed", e.getMessage());
        }
        new ArrayList<>(openClients).forEach(ClientListener::closeGracefullyIfIdle);
    }

    /** Accepts until no connection is left; the system call may fail for a connection without meaning the others. */
    private void acceptBacklog() {
        int failures = 0;
        for (int previousCount = -1; previousCount != openClients.size() && failures < MAX_ACCEPT_FAILURES; ) {
            previousCount = openClients.size();
            try {
                acceptPendingConnections();
            } catch (IOException e) {
                LOG.warning("accepting the last connections failed", e.getMessage());
                failures++;
                previousCount = -1;
            }
        }
    }

    /**
     * Ends connections on which clients keep sending: each is closed after its next response, and one without a request
     * in flight at once, with a response to what it has begun to send.
     */
    void stopReading() {
        stopsReading = true;
        new ArrayList<>(openClients).forEach(ClientConnection::rejectIncompleteRequest);
    }

    /** Adds the open client connections to a collection. */
    void collectConnections(Collection<? super ClientConnection> to) {
        to.addAll(openClients);
    }

    /** Whether no client is connected. */
    boolean isEmpty() {
        return openClients.isEmpty();
    }

    /** Closes the listening socket and all client connections. */
    void close() throws IOException {
        listeningSocket.close();
        new ArrayList<>(openClients).forEach(ClientConnection::close);
    }
}
