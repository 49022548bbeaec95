package hopdrum.frontdoor.connection;

import hopdrum.frontdoor.lifecycle.EventLoop;
import hopdrum.frontdoor.lifecycle.Log;
import hopdrum.frontdoor.lifecycle.StreamConnection;
import hopdrum.frontdoor.wire.BackendResponse;
import hopdrum.frontdoor.wire.HttpReader;
import hopdrum.frontdoor.wire.HttpWriter;
import hopdrum.frontdoor.wire.MalformedMessageException;
import hopdrum.frontdoor.wire.RequestForwarder;
import hopdrum.frontdoor.wire.RingBuffer;
import hopdrum.host.Outcome;
import java.io.IOException;
import java.util.List;

/** A pooled connection to a backend: one attempt at a time, used again for the next one if the backend keeps it open. */
public final class BackendConnection extends StreamConnection {
    /** Is notified of responses, of the ends of attempts, and of the connection's own end. */
    public interface Listener {
        /**
         * A complete response has arrived that the client is to get. Comes before {@link #attemptEnded}.
         *
         * @param bytes the connection's receive buffer, which holds the response until this returns
         * @param response where its parts are in {@code bytes}
         */
        void forwardResponse(Attempt attempt, RingBuffer bytes, HttpReader response);

        /**
         * An attempt has ended, by a response or without one.
         *
         * @param report the load report of the response, in the order of the settings' fields; empty without one
         */
        void attemptEnded(Attempt attempt, Outcome outcome, float[] report);

        /** The connection is closed. */
        void connectionClosed(BackendConnection connection);
    }

    private static final Log LOG = new Log("backends");
    private static final int MAX_REQUEST_BYTES = 128 << 10;
    private static final long STALLED_RESPONSE_US = 250_000; // without a byte in the middle of a response
    private static final float[] NO_REPORT = {};
    private final Listener listener;
    private final ConnectionPool pool;
    private final List<String> reportFields;
    private final HttpReader reader = new HttpReader(HttpReader.Kind.RESPONSE);
    private Attempt attempt;
    private boolean requestWritten; // up to its last byte
    private EventLoop.Timer connectTimeout;
    private long idleSinceUs;
    private long partialResponseUs; // when the last bytes of an incomplete response arrived; 0 before the first

    /**
     * Starts to open a connection to the pool's address.
     *
     * @param connectTimeoutUs after which a connection that has not come up counts as failed
     * @param reportFields the fields of the load report that are read, in the order in which they are handed on
     * @throws IOException if the system refuses the socket
     */
    public BackendConnection(
            EventLoop loop,
            ConnectionPool pool,
            long connectTimeoutUs,
            List<String> reportFields,
            ResourceBudget budget,
            Listener listener)
            throws IOException {
        super(loop, pool.address(), HttpReader.RESPONSE_RING_BYTES, MAX_REQUEST_BYTES, budget);
        this.pool = pool;
        this.listener = listener;
        this.reportFields = reportFields;
        if (!isConnected()) {
            connectTimeout = loop.scheduleAfter(connectTimeoutUs, this::connectTimedOut);
        }
    }

    /** Since when it has been free for another attempt. */
    public long idleSinceUs() {
        return idleSinceUs;
    }

    /**
     * Takes on an attempt. Its request is written once the connection is up, so that it states the time that is left
     * then. Returns false, and the connection is closed, if the request does not fit.
     */
    public boolean send(Attempt next) {
        attempt = next;
        partialResponseUs = 0;
        next.assignTo(this);
        requestWritten = false;
        if (isConnected() && !writeRequest()) {
            detach();
            close();
            return false;
        }
        return true;
    }

    /** Writes the request that stands at the front of its client's receive buffer. */
    private boolean writeRequest() {
        ClientConnection client = attempt.request().client();
        // A partner's front door derives its soft deadline from the time that the client waits, not from the attempt's.
        long deadlineUs = pool.isPartner() ? attempt.request().expiresAtUs() : attempt.deadlineUs();
        long remainingMs = Math.max(1, (deadlineUs - loop.nowUs()) / 1000);
        if (!RequestForwarder.forward(client.receiveBuffer(), client.message(), remainingMs, pool.isPartner(), out)) {
            return false;
        }
        flush();
        return true;
    }

    @Override
    protected void connected() {
        if (connectTimeout != null) {
            connectTimeout.cancel();
            connectTimeout = null;
        }
        if (attempt == null) {
            return;
        }
        if (attempt.request().client() == null) {
            endUnsent(Outcome.INVALID_REQUEST); // its client has disconnected, or has its response
        } else if (loop.nowUs() >= attempt.writeByUs() || !pool.acceptsAttempts()) {
            endUnsent(Outcome.CONNECT_FAILED);
        } else if (!writeRequest()) {
            Attempt ended = detach();
            close();
            listener.attemptEnded(ended, Outcome.CONNECT_FAILED, NO_REPORT);
        }
    }

    /** The connection came up too late for its attempt, and is kept for another one. */
    private void endUnsent(Outcome outcome) {
        Attempt ended = detach();
        idleSinceUs = loop.nowUs();
        pool.release(this);
        listener.attemptEnded(ended, outcome, NO_REPORT);
    }

    private void connectTimedOut() {
        if (!isConnected() && !isClosed()) {
            disconnected(CloseCause.FAILURE);
            close();
        }
    }

    @Override
    protected void outputDrained() {
        requestWritten = true;
    }

    @Override
    protected void bytesReceived() {
        if (attempt == null) {
            close(); // bytes that belong to no response
            return;
        }
        try {
            if (reader.read(in)) {
                completeResponse(reader.keepAlive() && requestWritten);
            } else if (reader.isCloseDelimited() && reader.status() != 200) {
                reader.completeAtHead();
                completeResponse(false);
            } else if (partialResponseUs == 0 && !in.isEmpty()) {
                partialResponseUs = loop.nowUs();
                watchForStall(STALLED_RESPONSE_US, attempt);
            } else {
                partialResponseUs = loop.nowUs();
            }
        } catch (MalformedMessageException e) {
            responseUnreadable(e.getMessage());
        }
    }

    /** The attempt has run; that its response is malformed says nothing about the backend's health. */
    private void responseUnreadable(String reason) {
        LOG.warning("a backend's response cannot be read", reason);
        Attempt ended = detach();
        close();
        listener.attemptEnded(ended, Outcome.UNREADABLE, NO_REPORT);
    }

    /** Ends an attempt whose response begins and does not go on: its client would wait for nothing. */
    private void watchForStall(long delayUs, Attempt watched) {
        loop.scheduleAfter(delayUs, () -> {
            long remainingUs = partialResponseUs + STALLED_RESPONSE_US - loop.nowUs();
            if (attempt == watched && !isClosed() && remainingUs > 0) {
                watchForStall(remainingUs, watched);
            } else if (attempt == watched && !isClosed()) {
                responseUnreadable("it stalls before its end");
            }
        });
    }

    /** The client comes first, then the connection's release, then the attempt's end, which may use it at once. */
    private void completeResponse(boolean reusable) {
        Attempt ended = detach();
        Outcome outcome =
                pool.isPartner() ? BackendResponse.partnerOutcome(reader) : BackendResponse.outcome(in, reader);
        float[] report = BackendResponse.loadReport(in, reader, reportFields);
        if (outcome == Outcome.OK || (pool.isPartner() && HttpWriter.isFinalStatus(reader.status()))) {
            listener.forwardResponse(ended, in, reader);
        }
        if (reusable) {
            becomeIdle();
        } else {
            close();
        }
        listener.attemptEnded(ended, outcome, report);
    }

    private Attempt detach() {
        Attempt ended = attempt;
        attempt = null;
        ended.unassign();
        return ended;
    }

    private void becomeIdle() {
        reader.removeMessage(in);
        if (!in.isEmpty()) {
            close(); // bytes behind the response
            return;
        }
        in.shrink();
        idleSinceUs = loop.nowUs();
        pool.release(this);
    }

    @Override
    protected void disconnected(CloseCause cause) {
        if (attempt == null) {
            return;
        }
        if (cause == CloseCause.END_OF_STREAM && requestWritten && reader.isCloseDelimited()) {
            reader.completeAtClose();
            completeResponse(false);
            return;
        }
        listener.attemptEnded(detach(), requestWritten ? Outcome.RESET : Outcome.CONNECT_FAILED, NO_REPORT);
    }

    /** Nobody waits for the attempt any more: the connection closes, by which the backend learns it. */
    void abandonAttempt() {
        attempt = null;
        close();
    }

    @Override
    protected void connectionClosed() {
        if (connectTimeout != null) {
            connectTimeout.cancel();
        }
        pool.remove(this);
        listener.connectionClosed(this);
    }
}
