package hopdrum.frontdoor.connection;

import hopdrum.frontdoor.lifecycle.EventLoop;
import hopdrum.frontdoor.lifecycle.StreamConnection;
import hopdrum.frontdoor.wire.CounterProtocol;
import hopdrum.frontdoor.wire.CounterReply;
import hopdrum.frontdoor.wire.HttpReader;
import hopdrum.frontdoor.wire.MalformedMessageException;
import hopdrum.host.Outcome;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;

/** A connection to the counter: calls written one after another, answers in the same order. */
public final class CounterConnection extends StreamConnection {
    /** Who is told how calls end. */
    public interface Owner {
        void counted(long name, Outcome outcome, double total, long tookUs);

        /** True if any connection has brought an answer since then. */
        boolean answeredSince(long us);

        void released(CounterConnection connection);
    }

    private static final int MOST_BYTES = 64 << 10;
    private static final long HALF_US = 5_000; // of silence amid an answer of a hundred bytes

    private static final class Call {
        final long name;
        final long sentUs;
        final long writtenAt; // bytes written on the connection by its last one
        boolean reported;

        Call(long name, long sentUs, long writtenAt) {
            this.name = name;
            this.sentUs = sentUs;
            this.writtenAt = writtenAt;
        }
    }

    private final Owner owner;
    private final long timeOutUs;
    private final HttpReader reader = new HttpReader(HttpReader.Kind.RESPONSE);
    private final Deque<Call> unanswered = new ArrayDeque<>(); // emptied by answers and by the connection's end
    private final Deque<Call> awaited = new ArrayDeque<>(); // those of them not timed out yet
    private long put;
    private long written;
    private long lastHeardUs;
    private long halfUs; // when it was heard last and left half an answer
    private boolean armed;
    private boolean leaves;

    public CounterConnection(EventLoop loop, SocketAddress to, long timeOutUs, ResourceBudget budget, Owner owner)
            throws IOException {
        super(loop, to, MOST_BYTES, MOST_BYTES, budget);
        this.owner = owner;
        this.timeOutUs = timeOutUs;
        this.lastHeardUs = loop.nowUs();
    }

    /** False if the call cannot be written. */
    public boolean call(long name, double amount, long lifeMs) {
        int before = out.size();
        if (!CounterProtocol.writeCall(name, amount, lifeMs, out)) {
            return false;
        }
        if (unanswered.isEmpty()) {
            lastHeardUs = loop.nowUs();
        }
        put += out.size() - before;
        Call call = new Call(name, loop.nowUs(), put);
        unanswered.add(call);
        awaited.add(call);
        flush();
        if (!armed) {
            armed = true;
            loop.in(timeOutUs, this::timeOut);
        }
        return true;
    }

    /** No more calls come: it closes with the last answer that is out. */
    public void closeOnceAnswered() {
        leaves = true;
        if (unanswered.isEmpty()) {
            close();
        }
    }

    /** Silent for that long with a call unanswered: it may be of no use any more. */
    public boolean isStuck(long forUs) {
        return !unanswered.isEmpty() && loop.nowUs() - lastHeardUs > forUs;
    }

    private void timeOut() {
        armed = false;
        if (isClosed()) {
            return;
        }
        if (!isConnected() && !awaited.isEmpty() && loop.nowUs() - awaited.peek().sentUs >= timeOutUs) {
            endCalls(); // never came up: nothing was written, and nothing shall be later
            close();
            return;
        }
        if (isStuck(timeOutUs) && owner.answeredSince(unanswered.peek().sentUs)) {
            giveUp(); // guards against one that fell silent alone: the counter answers elsewhere
            return;
        }
        while (!awaited.isEmpty() && loop.nowUs() - awaited.peek().sentUs >= timeOutUs) {
            report(awaited.poll(), Outcome.TIMED_OUT, 0);
        }
        if (!awaited.isEmpty()) {
            armed = true;
            loop.at(awaited.peek().sentUs + timeOutUs, this::timeOut);
        }
    }

    private void report(Call call, Outcome outcome, double total) {
        if (!call.reported) {
            call.reported = true;
            owner.counted(call.name, outcome, total, loop.nowUs() - call.sentUs);
        }
    }

    @Override
    protected void wrote(int count) {
        written += count;
    }

    @Override
    protected void received() {
        lastHeardUs = loop.nowUs();
        try {
            while (!isClosed() && reader.read(in)) {
                CounterReply reply = CounterProtocol.readReply(in, reader);
                Call call = unanswered.poll();
                if (call == null) {
                    close();
                    return;
                }
                awaited.remove(call);
                boolean keeps = reader.keepAlive();
                reader.done(in);
                report(call, reply.outcome(), reply.total());
                if ((!keeps || (leaves && unanswered.isEmpty())) && !isClosed()) {
                    endCalls();
                    close();
                }
            }
            if (!isClosed() && !in.isEmpty()) {
                halfUs = lastHeardUs;
                loop.in(HALF_US, this::lookForRest);
            }
        } catch (MalformedMessageException e) {
            unreadable();
        }
    }

    /** The call at the front was added, and its answer is spoilt; no other answer can be told on this connection. */
    private void unreadable() {
        Call call = unanswered.poll();
        if (call != null) {
            report(call, Outcome.UNREADABLE, 0);
        }
        giveUp();
    }

    /** Guards against an answer that begins and does not go on: all behind it would wait, and time out. */
    private void lookForRest() {
        if (!isClosed() && !in.isEmpty() && halfUs == lastHeardUs) {
            unreadable();
        }
    }

    /** What was written whole may have been added, or may yet be; the rest never is. */
    @Override
    protected void ended(Ending ending) {
        endCalls();
    }

    private void endCalls() {
        while (!unanswered.isEmpty()) {
            Call call = unanswered.poll();
            report(call, call.writtenAt <= written ? Outcome.RESET : Outcome.CONNECT_FAILED, 0);
        }
        awaited.clear();
    }

    public void giveUp() {
        if (!isClosed()) {
            endCalls();
            close();
        }
    }

    @Override
    protected void released() {
        owner.released(this);
    }
}
