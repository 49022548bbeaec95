package hopdrum.frontdoor.connection;

import hopdrum.frontdoor.connection.MemoryBudget.Purpose;
import hopdrum.frontdoor.lifecycle.EventLoop;
import hopdrum.frontdoor.lifecycle.Log;
import hopdrum.frontdoor.lifecycle.StreamConnection;
import hopdrum.frontdoor.wire.HttpReader;
import hopdrum.frontdoor.wire.HttpWriter;
import hopdrum.frontdoor.wire.MalformedMessageException;
import hopdrum.frontdoor.wire.RingBuffer;
import java.io.IOException;
import java.nio.channels.SocketChannel;

/** A connection from a client. Messages are handled one at a time, each after the response to the one before. */
public final class ClientConnection extends StreamConnection {
    private static final Log LOG = new Log("clients");
    private static final int MAX_MESSAGE_BYTES = 128 << 10;
    private static final long READ_RESPONSE_TIMEOUT_US = 10_000_000; // enough for a client to read a long response
    private static final long LINGER_US = 1_000_000; // after the last response, which may reach the client late
    private static final long IDLE_LINGER_US = 200_000; // enough for a message that was sent before the close
    private static final long FIRST_MESSAGE_TIMEOUT_US = 2_000_000;
    private final ClientConnectionListener listener;
    private final long messageTimeoutUs;
    private final HttpReader reader = new HttpReader(HttpReader.Kind.REQUEST);
    private InFlightRequest request; // null while no request is in flight on this connection
    private long messageArrivalUs; // earliest arrival of the front message's first byte; 0 without a message
    private long nextMessageArrivalUs; // the same for the bytes that arrived behind the front message
    private EventLoop.Timer timeout; // of the transfer that the connection waits for; null if there is none
    private long idleSinceUs;
    private int discardedBytes; // bytes that arrived after the last response
    private boolean closing; // whether the last response is buffered or written, or the connection lingers
    private ClientCloseReason closeReason = ClientCloseReason.SHUTDOWN;

    /**
     * Takes over an accepted connection.
     *
     * @param loop the event loop on which the connection is handled
     * @param channel the connected channel
     * @param budget limits the transfer time and the memory that the connection's buffers take
     * @param listener is notified of the connection's events
     * @throws IOException if the connection has already ended
     */
    public ClientConnection(
            EventLoop loop, SocketChannel channel, ResourceBudget budget, ClientConnectionListener listener)
            throws IOException {
        super(
                loop,
                channel,
                new BufferLimits(MAX_MESSAGE_BYTES, budget.memoryFor(Purpose.INCOMING_REQUEST)),
                new BufferLimits(HttpReader.RESPONSE_RING_BYTES, budget.memoryFor(Purpose.OUTGOING_RESPONSE)));
        this.listener = listener;
        this.messageTimeoutUs = budget.transferTimeoutUs();
        timeout = loop.scheduleAfter(FIRST_MESSAGE_TIMEOUT_US, this::firstMessageTimedOut);
        idleSinceUs = loop.nowUs();
    }

    /**
     * The receive buffer. The current message stays at the front of the buffer until its response has been buffered.
     */
    public RingBuffer receiveBuffer() {
        return in;
    }

    /** The positions in the receive buffer of the parts of the message at its front. */
    public HttpReader message() {
        return reader;
    }

    /** The request in flight on this connection; null if there is none. */
    public InFlightRequest request() {
        return request;
    }

    /**
     * The longest time, in microseconds, for which the first byte of the message at the front may have been waiting
     * here.
     */
    public long messageAgeUs() {
        return loop.nowUs() - messageArrivalUs;
    }

    /** Attaches the request that the message at the front contains; further messages wait for its response. */
    public void attachRequest(InFlightRequest inFlightRequest) {
        request = inFlightRequest;
    }

    @Override
    protected void bytesReceived() {
        if (closing) {
            discardedBytes += in.size();
            in.skip(in.size());
            in.shrink();
            if (discardedBytes > MAX_MESSAGE_BYTES) {
                close(ClientCloseReason.SENT_AFTER_LAST_RESPONSE);
            }
            return;
        }
        if (request != null) {
            nextMessageArrivalUs = nextMessageArrivalUs == 0 ? loop.earliestArrivalUs() : nextMessageArrivalUs;
            return;
        }
        if (messageArrivalUs == 0) {
            cancelTimeout();
            messageArrivalUs = loop.earliestArrivalUs();
            listener.connectionBusy(this);
        }
        handleMessages();
    }

    /** Handles messages until one is waiting for its response or is incomplete. */
    private void handleMessages() {
        try {
            while (request == null && !closing && !isClosed()) {
                if (!reader.read(in)) {
                    awaitRestOfMessage();
                    return;
                }
                cancelTimeout();
                listener.messageReceived(this);
            }
        } catch (MalformedMessageException e) {
            cancelTimeout();
            LOG.info("a request was rejected with " + e.status, e.getMessage());
            respond(e.status, 0, true);
        }
    }

    private void awaitRestOfMessage() throws MalformedMessageException {
        if (!reader.isStarted() && in.isEmpty()) {
            messageArrivalUs = 0;
            becomeIdle();
        } else {
            if (reader.takeExpectContinue() && HttpWriter.writeContinueResponse(out)) {
                flush();
            }
            if (in.isFull()) {
                throw new MalformedMessageException(413, "the message exceeds the receive buffer");
            }
            awaitReceiveMemory(reader.missingBytes(in));
            if (timeout == null) {
                // A client must not occupy a connection by sending slowly.
                timeout = loop.scheduleAfter(messageTimeoutUs, this::transferTimedOut);
            }
        }
    }

    /** Closes a connection on which nothing has arrived: a client that has a request to send does so much sooner. */
    private void firstMessageTimedOut() {
        timeout = null;
        readNow();
        if (!isClosed() && isIdle()) {
            closeGracefully(); // a request may still be on its way
        }
    }

    private void becomeIdle() {
        in.shrink();
        idleSinceUs = loop.nowUs();
        listener.connectionIdle(this);
    }

    /** Since when the connection has been idle or lingering. */
    public long idleSinceUs() {
        return idleSinceUs;
    }

    private void transferTimedOut() {
        LOG.info("disconnecting a client that sends or reads too slowly", null);
        if (closing || !out.isEmpty() || request != null) {
            close(ClientCloseReason.TOO_SLOW);
        } else {
            timeout = null;
            respond(408, 0, true);
        }
    }

    /**
     * The receive buffer counts while the rest of a request is awaited, and the send buffer while responses wait for
     * the client to read. A request that is in flight keeps its bytes, since it may have to be forwarded again.
     */
    @Override
    public int reclaimableBytes() {
        int bytes = (awaitsRestOfMessage() ? grownBytes(in) : 0) + (out.isEmpty() ? 0 : grownBytes(out));
        return isClosed() ? 0 : bytes;
    }

    private boolean awaitsRestOfMessage() {
        return request == null && !closing && !in.isEmpty() && !isClosed();
    }

    /** Whether the rest of a request is awaited and nothing has arrived since a time of the event loop's clock. */
    public boolean isStalledInRequest(long sinceUs) {
        return awaitsRestOfMessage() && lastProgressUs() < sinceUs;
    }

    private static int grownBytes(RingBuffer buffer) {
        return buffer.capacity() - RingBuffer.INITIAL_CAPACITY;
    }

    /** Rejects the request whose rest is awaited, or disconnects a client that does not read its responses. */
    @Override
    public void abandonTransfer() {
        if (!out.isEmpty()) {
            LOG.warning("disconnecting a client that does not read, to make room for others", null);
            close(ClientCloseReason.TOO_SLOW);
        } else {
            LOG.warning("rejecting an incomplete request to make room for others", null);
            cancelTimeout();
            respond(503, 0, true); // the request has not been forwarded, so repeating it is harmless
        }
    }

    @Override
    protected void receiveMemoryDenied() {
        if (request == null) {
            awaitReceiveMemory(reader.missingBytes(in));
        } else {
            suspendReading(); // until the response frees the request's bytes
        }
    }

    private void cancelTimeout() {
        if (timeout != null) {
            timeout.cancel();
            timeout = null;
        }
    }

    /**
     * Forwards a backend's complete response to the client.
     *
     * @param from the receive buffer of the backend's connection, which holds the response
     * @param response the positions of the response's parts in {@code from}
     * @return false if the send buffer has no room for the response, or gets no memory for it
     */
    public boolean forwardResponse(RingBuffer from, HttpReader response) {
        boolean lastResponse = !reader.keepAlive() || listener.closesAfterResponse(in.size() > reader.messageTo());
        if (!HttpWriter.forwardResponse(from, response, lastResponse, out)) {
            return false;
        }
        responseBuffered(lastResponse);
        return true;
    }

    /**
     * Answers a request whose response {@link #forwardResponse} could not take. The request has run, so the answer is
     * not one that allows repeating it. A client that does not read, so that earlier responses are still buffered, is
     * disconnected.
     */
    public void responseNotForwarded() {
        if (out.isEmpty()) {
            LOG.warning("a response was dropped for lack of buffer memory", null);
            respond(500, 0, false);
        } else {
            close(ClientCloseReason.NO_RESPONSE_BUFFER);
        }
    }

    /**
     * Sends an empty response that the front door itself gives.
     *
     * @param status the HTTP status of the response
     * @param retryAfterUs the Retry-After time of the response, in microseconds; 0 for none
     * @param close whether the connection is closed after the response in any case
     */
    public void respond(int status, long retryAfterUs, boolean close) {
        boolean lastResponse =
                close || !reader.keepAlive() || listener.closesAfterResponse(in.size() > reader.messageTo());
        if (!HttpWriter.writeEmptyResponse(status, retryAfterUs, lastResponse, out)) {
            loop.runAfterCurrentEvent(() -> close(ClientCloseReason.NO_RESPONSE_BUFFER));
            return;
        }
        responseBuffered(lastResponse);
    }

    private void responseBuffered(boolean lastResponse) {
        request = null;
        closing = lastResponse;
        if (lastResponse) {
            in.skip(in.size());
            in.shrink();
        } else {
            reader.removeMessage(in);
            messageArrivalUs = in.isEmpty() ? 0 : nextMessageArrivalUs == 0 ? messageArrivalUs : nextMessageArrivalUs;
            nextMessageArrivalUs = 0;
        }
        resumeReading();
        if (out.size() > 0) {
            flush();
        }
        if (!out.isEmpty() && timeout == null) {
            timeout = loop.scheduleAfter(
                    READ_RESPONSE_TIMEOUT_US, this::transferTimedOut); // the client may never read the response
        }
        if (!lastResponse) {
            loop.runAfterCurrentEvent(this::resumeAfterResponse);
        }
    }

    private void resumeAfterResponse() {
        if (!isClosed() && request == null && !closing) {
            if (messageArrivalUs != 0 && !in.isEmpty()) {
                handleMessages();
            } else if (in.isEmpty()) {
                becomeIdle();
            }
            updateInterest();
        }
    }

    @Override
    protected void outputDrained() {
        cancelTimeout();
        if (closing && !isClosed()) {
            linger(LINGER_US);
        }
    }

    /** Closes an idle connection in such a way that a message that the client is just sending does not meet a reset. */
    public void closeGracefully() {
        cancelTimeout();
        closing = true;
        listener.connectionBusy(this);
        linger(IDLE_LINGER_US);
    }

    /**
     * Ends the outgoing stream and gives the client some time to close the connection first. Closing at once could
     * reset the connection before the client has read the last response.
     */
    private void linger(long maxLingerUs) {
        endSending();
        if (!isClosed()) {
            idleSinceUs = loop.nowUs();
            timeout = loop.scheduleAfter(maxLingerUs, () -> close(ClientCloseReason.LINGER_ENDED));
            listener.connectionLingering(this);
        }
    }

    /**
     * Whether no request is in flight, no bytes are buffered in either direction, and the connection is not closing.
     */
    public boolean isIdle() {
        return request == null && in.isEmpty() && out.isEmpty() && !closing;
    }

    @Override
    protected void disconnected(CloseCause cause) {
        // connectionClosed() notifies the listener, however the connection ends.
        closeReason = cause == CloseCause.END_OF_STREAM ? ClientCloseReason.CLIENT_CLOSED : ClientCloseReason.FAILED;
    }

    /** Closes the connection; no effect if it is already closed. */
    public void close(ClientCloseReason reason) {
        closeReason = isClosed() ? closeReason : reason;
        close();
    }

    @Override
    protected void connectionClosed() {
        cancelTimeout();
        if (request != null) {
            listener.clientDisconnected(this);
        }
        listener.connectionClosed(this, closeReason);
    }
}
