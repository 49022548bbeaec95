package hopdrum.frontdoor.connection;

import hopdrum.frontdoor.lifecycle.EventLoop;
import hopdrum.frontdoor.lifecycle.Log;
import hopdrum.frontdoor.lifecycle.StreamConnection;
import hopdrum.frontdoor.wire.HttpReader;
import hopdrum.frontdoor.wire.HttpWriter;
import hopdrum.frontdoor.wire.MalformedMessageException;
import hopdrum.frontdoor.wire.RingBuffer;
import java.io.IOException;
import java.nio.channels.SocketChannel;

/** A client's connection. Messages are handled one at a time: the next one once the one before has its response. */
public final class ClientConnection extends StreamConnection {
    /** Is notified of the connection's messages, of its states, and of its end. */
    public interface Listener {
        /**
         * A complete message stands at the front of the receive buffer.
         *
         * @throws MalformedMessageException if it is rejected; the exception's status is the response
         */
        void messageReceived(ClientConnection client) throws MalformedMessageException;

        /** No message has arrived, and no request is in flight on the connection. */
        void connectionIdle(ClientConnection client);

        /** The connection is idle no longer. */
        void connectionBusy(ClientConnection client);

        /** The last response is written, and the client's end of the connection is awaited. */
        void connectionLingering(ClientConnection client);

        /** The connection has closed while a request was in flight on it. Comes before {@link #connectionClosed}. */
        void clientDisconnected(ClientConnection client);

        /** The connection is closed. */
        void connectionClosed(ClientConnection client);

        /**
         * Whether the next response is to be the connection's last.
         *
         * @param moreReceived whether bytes of a further message have arrived behind the one that is responded to
         */
        boolean closesAfterResponse(boolean moreReceived);
    }

    private static final Log LOG = new Log("clients");
    private static final int MAX_MESSAGE_BYTES = 128 << 10;
    private static final long READ_RESPONSE_TIMEOUT_US = 10_000_000; // a response may be long
    private static final long LINGER_US = 1_000_000; // after a last response, which may be long on its way
    private static final long IDLE_LINGER_US = 200_000; // a message that crosses the close arrives within that
    private static final long FIRST_MESSAGE_TIMEOUT_US = 2_000_000;
    private final Listener listener;
    private final long messageTimeoutUs;
    private final HttpReader reader = new HttpReader(HttpReader.Kind.REQUEST);
    private InFlightRequest request; // null while none is in flight on this connection
    private long messageSinceUs; // before the first byte of the message at the front; 0 without one
    private long nextMessageSinceUs; // before the first byte of what arrived behind it; 0 without any
    private EventLoop.Timer timeout; // of the transfer that is awaited, null without one
    private long idleSinceUs;
    private int discardedBytes; // that arrived after the last response
    private boolean closing; // the last response is written or being written

    /**
     * Takes over an accepted connection.
     *
     * @throws IOException if the connection has ended already
     */
    public ClientConnection(EventLoop loop, SocketChannel channel, ResourceBudget budget, Listener listener)
            throws IOException {
        super(loop, channel, MAX_MESSAGE_BYTES, HttpReader.RESPONSE_RING_BYTES, budget);
        this.listener = listener;
        this.messageTimeoutUs = budget.transferTimeoutUs();
        timeout = loop.scheduleAfter(FIRST_MESSAGE_TIMEOUT_US, this::firstMessageTimedOut);
        idleSinceUs = loop.nowUs();
    }

    /** The receive buffer; the message that is handled stays at its front until it has its response. */
    public RingBuffer receiveBuffer() {
        return in;
    }

    /** Where the parts of the message at the front are in the receive buffer. */
    public HttpReader message() {
        return reader;
    }

    /** The request in flight on this connection; null without one. */
    public InFlightRequest request() {
        return request;
    }

    /** How long ago the client may have sent the first byte of the message at the front. */
    public long messageAgeUs() {
        return loop.nowUs() - messageSinceUs;
    }

    /** The message at the front is this request's; further messages wait for its response. */
    public void attachRequest(InFlightRequest started) {
        request = started;
    }

    @Override
    protected void bytesReceived() {
        if (closing) {
            discardedBytes += in.size();
            in.skip(in.size());
            in.shrink();
            if (discardedBytes > MAX_MESSAGE_BYTES) {
                close(); // the client goes on sending at full speed
            }
            return;
        }
        if (request != null) {
            nextMessageSinceUs = nextMessageSinceUs == 0 ? loop.earliestArrivalUs() : nextMessageSinceUs;
            return;
        }
        if (messageSinceUs == 0) {
            cancelTimeout();
            messageSinceUs = loop.earliestArrivalUs();
            listener.connectionBusy(this);
        }
        handleMessages();
    }

    /** Handles messages until one waits for its response or is incomplete. */
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
            messageSinceUs = 0;
            becomeIdle();
        } else {
            if (reader.takeExpectContinue() && HttpWriter.writeContinueResponse(out)) {
                flush();
            }
            if (in.isFull()) {
                throw new MalformedMessageException(413, "the message is longer than its buffer");
            }
            if (timeout == null) {
                // A sender must not hold a connection by sending slowly.
                timeout = loop.scheduleAfter(messageTimeoutUs, this::transferTimedOut);
            }
        }
    }

    /** A client that means to send a request would have done so long ago. */
    private void firstMessageTimedOut() {
        timeout = null;
        readNow();
        if (!isClosed() && isIdle()) {
            closeGracefully(); // a request may be on its way
        }
    }

    private void becomeIdle() {
        in.shrink();
        idleSinceUs = loop.nowUs();
        listener.connectionIdle(this);
    }

    /** Since when the connection has been idle, or lingering. */
    public long idleSinceUs() {
        return idleSinceUs;
    }

    private void transferTimedOut() {
        LOG.info("a client that sends or reads too slowly is disconnected", null);
        if (closing || !out.isEmpty() || request != null) {
            close();
        } else {
            timeout = null;
            respond(408, 0, true);
        }
    }

    private void cancelTimeout() {
        if (timeout != null) {
            timeout.cancel();
            timeout = null;
        }
    }

    /**
     * Forwards a backend's complete response.
     *
     * @param from the backend's receive buffer, which holds the response
     * @param response where its parts are in {@code from}
     * @return false if the send buffer has no room for it
     */
    public boolean forwardResponse(RingBuffer from, HttpReader response) {
        boolean last = !reader.keepAlive() || listener.closesAfterResponse(in.size() > reader.messageTo());
        if (!HttpWriter.forwardResponse(from, response, last, out)) {
            return false;
        }
        responseBuffered(last);
        return true;
    }

    /**
     * Sends a response of the front door's own.
     *
     * @param retryAfterUs the Retry-After of the response, microseconds; 0 for none
     * @param close whether the connection closes after the response in any case
     */
    public void respond(int status, long retryAfterUs, boolean close) {
        boolean last = close || !reader.keepAlive() || listener.closesAfterResponse(in.size() > reader.messageTo());
        if (!HttpWriter.writeEmptyResponse(status, retryAfterUs, last, out)) {
            loop.runAfterCurrentEvent(this::close);
            return;
        }
        responseBuffered(last);
    }

    private void responseBuffered(boolean last) {
        request = null;
        closing = last;
        if (last) {
            in.skip(in.size());
        } else {
            reader.removeMessage(in);
            messageSinceUs = in.isEmpty() ? 0 : nextMessageSinceUs == 0 ? messageSinceUs : nextMessageSinceUs;
            nextMessageSinceUs = 0;
        }
        if (out.size() > 0) {
            flush();
        }
        if (!out.isEmpty() && timeout == null) {
            timeout = loop.scheduleAfter(
                    READ_RESPONSE_TIMEOUT_US, this::transferTimedOut); // the client may never read it
        }
        if (!last) {
            loop.runAfterCurrentEvent(this::resumeAfterResponse);
        }
    }

    private void resumeAfterResponse() {
        if (!isClosed() && request == null && !closing) {
            if (messageSinceUs != 0 && !in.isEmpty()) {
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

    /** Closes an idle connection so that a message that crosses the close meets no reset. */
    public void closeGracefully() {
        cancelTimeout();
        closing = true;
        listener.connectionBusy(this);
        linger(IDLE_LINGER_US);
    }

    /** Closing at once could reset the connection under its last response: the client has a while to close first. */
    private void linger(long maxUs) {
        endSending();
        if (!isClosed()) {
            idleSinceUs = loop.nowUs();
            timeout = loop.scheduleAfter(maxUs, this::close);
            listener.connectionLingering(this);
        }
    }

    /** Whether no request is in flight, and no bytes of a message or of a response are left. */
    public boolean isIdle() {
        return request == null && in.isEmpty() && out.isEmpty() && !closing;
    }

    @Override
    protected void disconnected(CloseCause cause) {
        // connectionClosed() notifies the listener, however the connection ends
    }

    @Override
    protected void connectionClosed() {
        cancelTimeout();
        if (request != null) {
            listener.clientDisconnected(this);
        }
        listener.connectionClosed(this);
    }
}
