package hopdrum.frontdoor.connection;

import hopdrum.frontdoor.connection.MemoryBudget.Purpose;
import hopdrum.frontdoor.lifecycle.BufferLimits;
import hopdrum.frontdoor.lifecycle.CloseCause;
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

/**
 * A pooled connection to a backend. It carries one attempt at a time and is reused for further attempts if the backend
 * keeps it open.
 */
public final class BackendConnection extends StreamConnection {
    /** Is notified of responses, of ended attempts, and of the connection's closing. */
    public interface Listener {
        /**
         * Called when a complete response has arrived that is to be forwarded to the client; before {@link
         * #attemptEnded}.
         *
         * @param attempt the attempt that the response belongs to
         * @param bytes the connection's receive buffer, which holds the response until this method returns
         * @param response the positions of the response's parts in {@code bytes}
         */
        void forwardResponse(Attempt attempt, RingBuffer bytes, HttpReader response);

        /**
         * Called when an attempt has ended, with or without a response.
         *
         * @param attempt the attempt that has ended
         * @param outcome how the attempt ended
         * @param report the load report of the response, in the order of the settings' fields; empty without a report
         */
        void attemptEnded(Attempt attempt, Outcome outcome, float[] report);

        /** Called when the connection has been closed. */
        void connectionClosed(BackendConnection connection);
    }

    private static final Log LOG = new Log("backends");
    private static final int MAX_REQUEST_BYTES = 128 << 10;
    private static final long STALL_TIMEOUT_US = 250_000; // without a byte in the middle of a response
    private static final float[] NO_REPORT = {};
    private final Listener listener;
    private final ConnectionPool pool;
    private final List<String> reportFields;
    private final HttpReader reader = new HttpReader(HttpReader.Kind.RESPONSE);
    private Attempt attempt;
    private boolean requestWritten; // whether the request was written completely
    private EventLoop.Timer connectTimeout;
    private long idleSinceUs;
    private long lastPartialReadUs; // when bytes of an incomplete response last arrived; 0 before the first

    /**
     * Starts to connect to the pool's address.
     *
     * @param loop the event loop on which the connection is handled
     * @param pool the pool of the backend, to which the connection returns after each attempt
     * @param connectTimeoutUs the time after which a connection that is not established counts as failed, in
     *     microseconds
     * @param reportFields the fields of the load report to read, in the order in which the listener gets them
     * @param budget limits the memory that the connection's buffers take
     * @param listener is notified of the connection's events
     * @throws IOException if no socket can be opened, or if connecting fails at once
     */
    public BackendConnection(
            EventLoop loop,
            ConnectionPool pool,
            long connectTimeoutUs,
            List<String> reportFields,
            ResourceBudget budget,
            Listener listener)
            throws IOException {
        super(
                loop,
                pool.address(),
                new BufferLimits(HttpReader.RESPONSE_RING_BYTES, budget.memoryFor(Purpose.INCOMING_RESPONSE)),
                new BufferLimits(MAX_REQUEST_BYTES, budget.memoryFor(Purpose.OUTGOING_REQUEST)));
        this.pool = pool;
        this.listener = listener;
        this.reportFields = reportFields;
        if (!isConnected()) {
            connectTimeout = loop.scheduleAfter(connectTimeoutUs, this::connectTimedOut);
        }
    }

    /** Since when the connection has been free for another attempt. */
    public long idleSinceUs() {
        return idleSinceUs;
    }

    /**
     * Assigns an attempt to the connection. The request is written once the connection is established, since it states
     * the time that remains when it is written. Returns false, and closes the connection, if the request does not fit
     * into the send buffer.
     */
    public boolean send(Attempt newAttempt) {
        attempt = newAttempt;
        lastPartialReadUs = 0;
        newAttempt.assignTo(this);
        requestWritten = false;
        if (isConnected() && !writeRequest()) {
            detachAttempt();
            close();
            return false;
        }
        return true;
    }

    /** Writes the request, which is at the front of its client's receive buffer. Returns false if it does not fit. */
    private boolean writeRequest() {
        ClientConnection client = attempt.request().client();
        // A partner's front door derives its soft deadline from the client's deadline, not from the attempt's.
        long deadlineUs = pool.isPartner() ? attempt.request().expiresAtUs() : attempt.deadlineUs();
        long remainingMs = Math.max(1, (deadlineUs - loop.currentTimeUs()) / 1000);
        if (!RequestForwarder.forward(client.messageBuffer(), client.message(), remainingMs, pool.isPartner(), out)) {
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
        if (attempt != null && attempt.request().client() != null) {
            attempt.request().client().readNow(); // it may have left while the connection was pending
        }
        if (attempt == null) {
            return;
        }
        ClientConnection client = attempt.request().client();
        if (client == null || client.mayHaveLeft()) {
            endUnsentAttempt(Outcome.INVALID_REQUEST); // the client may have disconnected, or already has a response
        } else if (loop.nowUs() >= attempt.writeByUs() || !pool.acceptsAttempts()) {
            endUnsentAttempt(Outcome.CONNECT_FAILED);
        } else if (!writeRequest()) {
            Attempt endedAttempt = detachAttempt();
            close();
            listener.attemptEnded(endedAttempt, Outcome.CONNECT_FAILED, NO_REPORT);
        }
    }

    /** Ends an attempt for which the connection was established too late, and keeps the connection for another one. */
    private void endUnsentAttempt(Outcome outcome) {
        Attempt endedAttempt = detachAttempt();
        idleSinceUs = loop.nowUs();
        pool.release(this);
        listener.attemptEnded(endedAttempt, outcome, NO_REPORT);
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
            close(); // bytes without a pending request belong to no response
            return;
        }
        try {
            if (reader.read(in)) {
                completeResponse(reader.keepAlive() && requestWritten);
            } else if (reader.isCloseDelimited() && reader.status() != 200) {
                reader.completeAtHead();
                completeResponse(false);
            } else {
                awaitRestOfResponse();
            }
        } catch (MalformedMessageException e) {
            failUnreadableResponse(e.getMessage());
        }
    }

    private void awaitRestOfResponse() {
        boolean isFirstPart = lastPartialReadUs == 0 && !in.isEmpty();
        lastPartialReadUs = loop.nowUs();
        awaitReceiveMemory(reader.missingBytes(in));
        if (isFirstPart) {
            watchForStall(STALL_TIMEOUT_US, attempt);
        }
    }

    /** The backend has executed the request, and a malformed response says nothing about the backend's health. */
    private void failUnreadableResponse(String reason) {
        LOG.warning("a response of a backend cannot be read", reason);
        Attempt endedAttempt = detachAttempt();
        close();
        listener.attemptEnded(endedAttempt, Outcome.UNREADABLE, NO_REPORT);
    }

    /** The buffers' memory while the rest of a response is awaited, or while the backend does not read the request. */
    @Override
    public int reclaimableBytes() {
        boolean isTransferring = attempt != null && !isClosed() && !(in.isEmpty() && out.isEmpty());
        return isTransferring ? in.capacity() + out.capacity() - 2 * RingBuffer.INITIAL_CAPACITY : 0;
    }

    /** Ends the attempt; one whose request was not written completely has never run. */
    @Override
    public void abandonTransfer() {
        if (out.isEmpty()) {
            failUnreadableResponse("there is no buffer memory for its rest");
        } else {
            LOG.warning("gave up writing a request to a backend to free buffer memory", null);
            Attempt endedAttempt = detachAttempt();
            close();
            listener.attemptEnded(endedAttempt, Outcome.CONNECT_FAILED, NO_REPORT);
        }
    }

    /** Ends an attempt whose response has begun and then stalls, since its client would wait in vain. */
    private void watchForStall(long delayUs, Attempt watchedAttempt) {
        loop.scheduleAfter(delayUs, () -> {
            long remainingUs = lastPartialReadUs + STALL_TIMEOUT_US - loop.nowUs();
            if (attempt == watchedAttempt && isAwaitingMemory()) {
                watchForStall(STALL_TIMEOUT_US, watchedAttempt); // the backend is not to blame
            } else if (attempt == watchedAttempt && !isClosed() && remainingUs > 0) {
                watchForStall(remainingUs, watchedAttempt);
            } else if (attempt == watchedAttempt && !isClosed()) {
                failUnreadableResponse("the response stalled before its end");
            }
        });
    }

    /**
     * Forwards the response to the client first, then releases the connection, and reports the attempt's end last,
     * since the listener may use the connection again at once.
     */
    private void completeResponse(boolean reusable) {
        Attempt endedAttempt = detachAttempt();
        Outcome outcome =
                pool.isPartner() ? BackendResponse.partnerOutcome(reader) : BackendResponse.outcome(in, reader);
        float[] report = BackendResponse.loadReport(in, reader, reportFields);
        if (outcome == Outcome.OK || (pool.isPartner() && HttpWriter.isFinalStatus(reader.status()))) {
            listener.forwardResponse(endedAttempt, in, reader);
        }
        if (reusable) {
            becomeIdle();
        } else {
            close();
        }
        listener.attemptEnded(endedAttempt, outcome, report);
    }

    private Attempt detachAttempt() {
        Attempt endedAttempt = attempt;
        attempt = null;
        endedAttempt.unassign();
        return endedAttempt;
    }

    private void becomeIdle() {
        reader.removeMessage(in);
        if (!in.isEmpty()) {
            close(); // bytes behind the response belong to no request
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
        listener.attemptEnded(detachAttempt(), requestWritten ? Outcome.RESET : Outcome.CONNECT_FAILED, NO_REPORT);
    }

    /** Drops the attempt, for which nobody waits any longer, and closes the connection, which tells the backend. */
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
