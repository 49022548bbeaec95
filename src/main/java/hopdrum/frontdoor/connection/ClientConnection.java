package hopdrum.frontdoor.connection;

import hopdrum.frontdoor.lifecycle.CloseCause;
import hopdrum.frontdoor.lifecycle.EventLoop;
import hopdrum.frontdoor.lifecycle.Log;
import hopdrum.frontdoor.wire.HttpReader;
import hopdrum.frontdoor.wire.HttpWriter;
import hopdrum.frontdoor.wire.MalformedMessageException;
import hopdrum.frontdoor.wire.RingBuffer;
import java.io.IOException;
import java.nio.channels.SocketChannel;

/** A connection from a client. Messages are handled one at a time, each after the response to the one before. */
public final class ClientConnection extends PipelinedRequestReader {
    private static final Log LOG = new Log("clients");
    private static final int STATUS_REJECTED = 503;
    private static final int MAX_BUFFERED_REJECTION_BYTES = 16 << 10;
    private static final long READ_RESPONSE_TIMEOUT_US = 10_000_000; // enough for a client to read a long response
    private static final long LINGER_US = 1_000_000; // after the last response, which may reach the client late
    private static final long SHORT_LINGER_US = 200_000; // enough for a message that was sent before the close
    private static final long FIRST_MESSAGE_TIMEOUT_US = 2_000_000;
    private final ClientConnectionListener listener;
    private final long messageTimeoutUs;
    private InFlightRequest request; // null while no request is in flight on this connection
    private EventLoop.Timer timeout; // of the transfer that the connection waits for; null if there is none
    private long idleSinceUs;
    private boolean closing; // whether the last response is buffered or written, or the connection lingers
    private boolean sendsAfterLastResponse; // so much that it is no longer read
    private ClientCloseReason closeReason = ClientCloseReason.SHUTDOWN;

    /**
     * Takes over an accepted connection.
     *
     * @param loop the event loop on which the connection is handled
     * @param channel the connected channel
     * @param arrivedAtUs the earliest time at which the client can have connected, and sent its first message, in
     *     microseconds of the event loop's clock
     * @param budget limits the transfer time and the memory that the connection's buffers take
     * @param listener is notified of the connection's events
     * @throws IOException if the connection has already ended
     */
    public ClientConnection(
            EventLoop loop,
            SocketChannel channel,
            long arrivedAtUs,
            ResourceBudget budget,
            ClientConnectionListener listener)
            throws IOException {
        super(loop, channel, arrivedAtUs, budget);
        this.listener = listener;
        this.messageTimeoutUs = budget.transferTimeoutUs();
        timeout = loop.scheduleAfter(FIRST_MESSAGE_TIMEOUT_US, this::firstMessageTimedOut);
        idleSinceUs = loop.nowUs();
    }

    /** The request in flight on this connection; null if there is none. */
    public InFlightRequest request() {
        return request;
    }

    /** Attaches the request that the message at the front contains; further messages wait for its response. */
    public void attachRequest(InFlightRequest inFlightRequest) {
        request = inFlightRequest;
    }

    @Override
    boolean isAwaitingResponse() {
        return request != null;
    }

    @Override
    boolean isClosing() {
        return closing;
    }

    @Override
    void messageStarted() {
        cancelTimeout();
        listener.connectionBusy(this);
    }

    @Override
    long maxDeferralUs() {
        return listener.maxDeferralUs(this);
    }

    @Override
    void messageComplete() throws MalformedMessageException {
        cancelTimeout();
        listener.messageReceived(this);
    }

    @Override
    void messageMalformed(MalformedMessageException e) {
        cancelTimeout();
        LOG.info("a request was rejected with " + e.status, e.getMessage());
        respond(e.status, 0, true);
    }

    @Override
    void messageIncomplete() {
        if (reader.takeExpectContinue() && HttpWriter.writeContinueResponse(out)) {
            flush();
        }
        if (timeout == null) {
            // A client must not occupy a connection by sending slowly.
            timeout = loop.scheduleAfter(messageTimeoutUs, this::transferTimedOut);
        }
    }

    @Override
    void allMessagesHandled() {
        becomeIdle();
    }

    @Override
    boolean rejectExcessRequest(boolean isLast) {
        if (out.size() > MAX_BUFFERED_REJECTION_BYTES) {
            return false; // until the client has read some of them
        }
        boolean lastResponse = isLast && listener.closesAfterResponse(false);
        if (!HttpWriter.writeEmptyResponse(STATUS_REJECTED, 0, lastResponse, out)) {
            loop.runAfterCurrentEvent(() -> close(ClientCloseReason.NO_RESPONSE_BUFFER));
            return false;
        }
        listener.excessRequestRejected();
        closing = lastResponse;
        return true;
    }

    @Override
    void excessResponsesBuffered() {
        if (closing) {
            discardMessages();
        }
        flush();
        awaitClientReading();
    }

    @Override
    void bytesDiscarded(int totalBytes) {
        if (totalBytes > MAX_MESSAGE_BYTES && !sendsAfterLastResponse) {
            sendsAfterLastResponse = true;
            suspendReading(); // a close over unread bytes resets the connection, so the client has to read before it
            if (out.isEmpty()) {
                cancelTimeout();
                timeout = loop.scheduleAfter(SHORT_LINGER_US, this::lingerEnded);
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
        return request == null && !closing && (!in.isEmpty() || hasExcess()) && !isClosed();
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
            rejectIncompleteRequest(); // the request has not been forwarded, so repeating it is harmless
        }
    }

    /** Rejects the request whose rest is awaited, if there is one, and closes the connection. */
    public void rejectIncompleteRequest() {
        if (awaitsRestOfMessage()) {
            cancelTimeout();
            respond(STATUS_REJECTED, 0, true);
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
        boolean lastResponse = !reader.keepAlive() || listener.closesAfterResponse(hasReceivedMore());
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
        boolean lastResponse = close || !reader.keepAlive() || listener.closesAfterResponse(hasReceivedMore());
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
            discardMessages();
        } else {
            removeMessage();
        }
        resumeReading();
        if (out.size() > 0) {
            flush();
        }
        awaitClientReading();
        if (!lastResponse && !isHandlingMessages()) {
            loop.runAfterCurrentEvent(this::handleNextMessages);
        }
    }

    private void awaitClientReading() {
        if (!out.isEmpty() && timeout == null) {
            timeout = loop.scheduleAfter(
                    READ_RESPONSE_TIMEOUT_US, this::transferTimedOut); // the client may never read the response
        }
    }

    @Override
    protected void outputDrained() {
        cancelTimeout();
        if (closing && !isClosed()) {
            linger(sendsAfterLastResponse ? SHORT_LINGER_US : LINGER_US);
        } else if (!in.isEmpty() || hasExcess()) {
            continueInNextRound();
        }
    }

    /** Closes an idle connection in such a way that a message that the client is just sending does not meet a reset. */
    public void closeGracefully() {
        cancelTimeout();
        closing = true;
        listener.connectionBusy(this);
        linger(SHORT_LINGER_US);
    }

    /**
     * Ends the outgoing stream and gives the client some time to close the connection first. Closing at once could
     * reset the connection before the client has read the last response.
     */
    private void linger(long maxLingerUs) {
        endSending();
        if (!isClosed()) {
            idleSinceUs = loop.nowUs();
            timeout = loop.scheduleAfter(maxLingerUs, this::lingerEnded);
            listener.connectionLingering(this);
        }
    }

    private void lingerEnded() {
        close(sendsAfterLastResponse ? ClientCloseReason.SENT_AFTER_LAST_RESPONSE : ClientCloseReason.LINGER_ENDED);
    }

    /**
     * Whether no request is in flight, no bytes are buffered in either direction, and the connection is not closing.
     */
    public boolean isIdle() {
        return request == null && in.isEmpty() && !hasExcess() && out.isEmpty() && !closing;
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
        freeExcess();
        if (request != null) {
            listener.clientDisconnected(this);
        }
        listener.connectionClosed(this, closeReason);
    }
}
