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

/** A connection to a backend: one attempt at a time, kept for the next one where the backend keeps it. */
public final class BackendConnection extends StreamConnection {
    /** Who is told how attempts end. */
    public interface Owner {
        /** A whole answer that was asked for: its client gets it. The connection's bytes stand until this returns. */
        void pass(Attempt attempt, RingBuffer bytes, HttpReader answer);

        void ended(Attempt attempt, Outcome outcome, float[] report);

        void released(BackendConnection connection);
    }

    private static final Log LOG = new Log("backends");
    private static final int MOST_BYTES = 128 << 10;
    private static final long HALF_US = 250_000; // of silence amid an answer
    private static final float[] NO_REPORT = {};
    private final Owner owner;
    private final ConnectionPool pool;
    private final List<String> reportFields;
    private final HttpReader reader = new HttpReader(HttpReader.Kind.RESPONSE);
    private Attempt attempt;
    private boolean written; // the attempt's last byte
    private EventLoop.Timer dial;
    private long idleSinceUs;
    private long heardUs; // the last bytes of an answer that is not whole; 0 before

    public BackendConnection(
            EventLoop loop,
            ConnectionPool pool,
            long dialTimeOutUs,
            List<String> reportFields,
            ResourceBudget budget,
            Owner owner)
            throws IOException {
        super(loop, pool.address(), HttpReader.RESPONSE_RING_BYTES, MOST_BYTES, budget);
        this.pool = pool;
        this.owner = owner;
        this.reportFields = reportFields;
        if (!isConnected()) {
            dial = loop.in(dialTimeOutUs, this::notUp);
        }
    }

    public ConnectionPool pool() {
        return pool;
    }

    public long idleSinceUs() {
        return idleSinceUs;
    }

    /**
     * Takes on an attempt. Its request is written once the connection is up, so that it states the time that is left then;
     * false, and the connection is closed, where it does not fit.
     */
    public boolean send(Attempt sent) {
        attempt = sent;
        heardUs = 0;
        sent.connection = this;
        written = false;
        if (isConnected() && !writeRequest()) {
            detach();
            close();
            return false;
        }
        return true;
    }

    /** Writes the RPC that stands at the front of its client's ring. */
    private boolean writeRequest() {
        ClientConnection client = attempt.rpc.client;
        // Another front door is told how long the client waits, not when this one gives up: it goes by that for its
        // soft deadline.
        long endsAtUs = pool.isDoor ? attempt.rpc.expiresAtUs : attempt.endsAtUs;
        long leftMs = Math.max(1, (endsAtUs - loop.nowUs()) / 1000);
        if (!RequestForwarder.forward(client.bytes(), client.message(), leftMs, pool.isDoor, out)) {
            return false;
        }
        flush();
        return true;
    }

    @Override
    protected void connected() {
        if (dial != null) {
            dial.cancel();
            dial = null;
        }
        if (attempt == null) {
            return;
        }
        if (attempt.rpc.client == null) {
            endUnsent(Outcome.INVALID_REQUEST); // its client has gone, or has its answer
        } else if (loop.nowUs() >= attempt.beginByUs || !pool.mayBegin()) {
            endUnsent(Outcome.CONNECT_FAILED);
        } else if (!writeRequest()) {
            Attempt over = detach();
            close();
            owner.ended(over, Outcome.CONNECT_FAILED, NO_REPORT);
        }
    }

    /** The connection came up too late for its attempt, and stays for another one. */
    private void endUnsent(Outcome outcome) {
        Attempt over = detach();
        idleSinceUs = loop.nowUs();
        pool.keep(this);
        owner.ended(over, outcome, NO_REPORT);
    }

    private void notUp() {
        if (!isConnected() && !isClosed()) {
            ended(Ending.BROKEN);
            close();
        }
    }

    @Override
    protected void drained() {
        written = true;
    }

    @Override
    protected void received() {
        if (attempt == null) {
            close(); // bytes that answer nothing
            return;
        }
        try {
            if (reader.read(in)) {
                whole(reader.keepAlive() && written);
            } else if (reader.isUntilClose() && reader.status() != 200) {
                reader.endAtHead();
                whole(false);
            } else if (heardUs == 0 && !in.isEmpty()) {
                heardUs = loop.nowUs();
                lookIn(HALF_US, attempt);
            } else {
                heardUs = loop.nowUs();
            }
        } catch (MalformedMessageException e) {
            unreadable(e.getMessage());
        }
    }

    /** It has run, and any backend's answer may be spoilt so. */
    private void unreadable(String why) {
        LOG.warning("a backend's answer cannot be read", why);
        Attempt over = detach();
        close();
        owner.ended(over, Outcome.UNREADABLE, NO_REPORT);
    }

    /** Guards against an answer that begins and does not go on: its client would wait for nothing. */
    private void lookIn(long delayUs, Attempt of) {
        loop.in(delayUs, () -> {
            long leftUs = heardUs + HALF_US - loop.nowUs();
            if (attempt == of && !isClosed() && leftUs > 0) {
                lookIn(leftUs, of);
            } else if (attempt == of && !isClosed()) {
                unreadable("it stops halfway");
            }
        });
    }

    /** The client first, then the connection's next use, then the news of it, upon which that use may come. */
    private void whole(boolean keeps) {
        Attempt over = detach();
        Outcome outcome = pool.isDoor ? BackendResponse.partnerOutcome(reader) : BackendResponse.outcome(in, reader);
        float[] report = BackendResponse.loadReport(in, reader, reportFields);
        if (outcome == Outcome.OK || (pool.isDoor && HttpWriter.isFinalStatus(reader.status()))) {
            owner.pass(over, in, reader);
        }
        if (keeps) {
            free();
        } else {
            close();
        }
        owner.ended(over, outcome, report);
    }

    private Attempt detach() {
        Attempt over = attempt;
        attempt = null;
        over.connection = null;
        return over;
    }

    private void free() {
        reader.done(in);
        if (!in.isEmpty()) {
            close(); // more than one answer
            return;
        }
        in.shrink();
        idleSinceUs = loop.nowUs();
        pool.keep(this);
    }

    @Override
    protected void ended(Ending ending) {
        if (attempt == null) {
            return;
        }
        if (ending == Ending.IN_ORDER && written && reader.isUntilClose()) {
            reader.endAtClose();
            whole(false);
            return;
        }
        owner.ended(detach(), written ? Outcome.RESET : Outcome.CONNECT_FAILED, NO_REPORT);
    }

    /** Nobody waits any more: the backend sees the connection close. */
    public void giveUp() {
        attempt = null;
        close();
    }

    @Override
    protected void released() {
        if (dial != null) {
            dial.cancel();
        }
        pool.forget(this);
        owner.released(this);
    }
}
