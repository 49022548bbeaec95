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

/** A client's connection: one message after another; the next is looked at when the one before has its answer. */
public final class ClientConnection extends StreamConnection {
    /** Who is told of its messages and its end. */
    public interface Owner {
        /** A whole message stands at the front; throws what the client is to be told of it. */
        void arrived(ClientConnection client) throws MalformedMessageException;

        /** Nothing is under way on it. */
        void idle(ClientConnection client);

        void busy(ClientConnection client);

        /** Its last answer is written, and only its end is waited for. */
        void lingers(ClientConnection client);

        void left(ClientConnection client);

        void released(ClientConnection client);

        /**
         * True while connections are to close with their next answer.
         *
         * @param moreIsHere whether bytes of a further message have come in behind the one that is answered
         */
        boolean closesWithAnswer(boolean moreIsHere);
    }

    private static final Log LOG = new Log("clients");
    private static final int MOST_BYTES = 128 << 10;
    private static final long ANSWER_US = 10_000_000; // to take an answer that may be long
    private static final long LINGER_US = 1_000_000; // after a last answer, which may be long on its way
    private static final long FINISH_US = 200_000; // at rest: what may be on its way here crosses within that
    private static final long SILENT_US = 2_000_000; // a connection that asks nothing may be closed then
    private final Owner owner;
    private final long slowUs;
    private final HttpReader reader = new HttpReader(HttpReader.Kind.REQUEST);
    private InFlightRequest rpc;
    private long arrivedUs; // before the first byte of the message at the front
    private long behindUs; // before the first byte of what came in behind it
    private EventLoop.Timer slow;
    private long idleSinceUs;
    private int dropped; // bytes that came after the last answer
    private boolean closing; // the last answer is written or being written

    public ClientConnection(EventLoop loop, SocketChannel channel, ResourceBudget budget, Owner owner)
            throws IOException {
        super(loop, channel, MOST_BYTES, HttpReader.RESPONSE_RING_BYTES, budget);
        this.owner = owner;
        this.slowUs = budget.slowUs();
        slow = loop.in(SILENT_US, this::saysNothing);
        idleSinceUs = loop.nowUs();
    }

    public RingBuffer bytes() {
        return in;
    }

    public HttpReader message() {
        return reader;
    }

    public InFlightRequest rpc() {
        return rpc;
    }

    /** How long ago the client may have sent the first byte of the message at the front. */
    public long ageUs() {
        return loop.nowUs() - arrivedUs;
    }

    /** An RPC is made of the message at the front; it stays there until the answer. */
    public void took(InFlightRequest taken) {
        rpc = taken;
    }

    @Override
    protected void received() {
        if (closing) {
            dropped += in.size();
            in.skip(in.size());
            in.shrink();
            if (dropped > MOST_BYTES) {
                close(); // guards against one that goes on sending at full speed
            }
            return;
        }
        if (rpc != null) {
            behindUs = behindUs == 0 ? loop.earliestArrivalUs() : behindUs;
            return;
        }
        if (arrivedUs == 0) {
            stopClock();
            arrivedUs = loop.earliestArrivalUs();
            owner.busy(this);
        }
        next();
    }

    /** Takes up messages until one waits for its answer or is not whole yet. */
    private void next() {
        try {
            while (rpc == null && !closing && !isClosed()) {
                if (!reader.read(in)) {
                    incomplete();
                    return;
                }
                stopClock();
                owner.arrived(this);
            }
        } catch (MalformedMessageException e) {
            stopClock();
            LOG.info("a request was turned down with " + e.status, e.getMessage());
            answer(e.status, 0, true);
        }
    }

    private void incomplete() throws MalformedMessageException {
        if (!reader.isStarted() && in.isEmpty()) {
            arrivedUs = 0;
            goesIdle();
        } else {
            if (reader.takeExpectContinue() && HttpWriter.continueResponse(out)) {
                flush();
            }
            if (in.isFull()) {
                throw new MalformedMessageException(413, "the message is longer than its ring");
            }
            if (slow == null) {
                slow = loop.in(
                        slowUs, this::tooSlow); // guards against senders that hold a connection by sending slowly
            }
        }
    }

    /** What it was opened for would have come long ago. */
    private void saysNothing() {
        slow = null;
        readNow();
        if (!isClosed() && isIdle()) {
            finish(); // it may be about to ask
        }
    }

    private void goesIdle() {
        in.shrink();
        idleSinceUs = loop.nowUs();
        owner.idle(this);
    }

    public long idleSinceUs() {
        return idleSinceUs;
    }

    private void tooSlow() {
        LOG.info("a client that sends or reads too slowly is cut off", null);
        if (closing || !out.isEmpty() || rpc != null) {
            close();
        } else {
            slow = null;
            answer(408, 0, true);
        }
    }

    private void stopClock() {
        if (slow != null) {
            slow.cancel();
            slow = null;
        }
    }

    /** A backend's whole answer, which is still in that backend's ring; false if it could not be held. */
    public boolean answer(RingBuffer from, HttpReader answer) {
        boolean last = !reader.keepAlive() || owner.closesWithAnswer(in.size() > reader.end());
        if (!HttpWriter.forwardResponse(from, answer, last, out)) {
            return false;
        }
        answered(last);
        return true;
    }

    /** An answer of this program's own. */
    public void answer(int status, long retryAfterUs, boolean close) {
        boolean last = close || !reader.keepAlive() || owner.closesWithAnswer(in.size() > reader.end());
        if (!HttpWriter.emptyResponse(status, retryAfterUs, last, out)) {
            loop.runAfterCurrentEvent(this::close);
            return;
        }
        answered(last);
    }

    private void answered(boolean last) {
        rpc = null;
        closing = last;
        if (last) {
            in.skip(in.size());
        } else {
            reader.done(in);
            arrivedUs = in.isEmpty() ? 0 : behindUs == 0 ? arrivedUs : behindUs;
            behindUs = 0;
        }
        if (out.size() > 0) {
            flush();
        }
        if (!out.isEmpty() && slow == null) {
            slow = loop.in(ANSWER_US, this::tooSlow); // guards against clients that do not take their answers
        }
        if (!last) {
            loop.runAfterCurrentEvent(this::again);
        }
    }

    private void again() {
        if (!isClosed() && rpc == null && !closing) {
            if (arrivedUs != 0 && !in.isEmpty()) {
                next();
            } else if (in.isEmpty()) {
                goesIdle();
            }
            updateInterest();
        }
    }

    @Override
    protected void drained() {
        stopClock();
        if (closing && !isClosed()) {
            linger(LINGER_US);
        }
    }

    /** Ends a connection that is idle. */
    public void finish() {
        stopClock();
        closing = true;
        owner.busy(this);
        linger(FINISH_US);
    }

    /** Closing at once could reset the connection under its last answer: the other end has a while to close first. */
    private void linger(long mostUs) {
        endSending();
        if (!isClosed()) {
            idleSinceUs = loop.nowUs();
            slow = loop.in(mostUs, this::close);
            owner.lingers(this);
        }
    }

    /** Idle, and no bytes of a message have come. */
    public boolean isIdle() {
        return rpc == null && in.isEmpty() && out.isEmpty() && !closing;
    }

    @Override
    protected void ended(Ending ending) {
        // released() tells of the RPC, however the connection ends
    }

    @Override
    protected void released() {
        stopClock();
        if (rpc != null) {
            owner.left(this);
        }
        owner.released(this);
    }
}
