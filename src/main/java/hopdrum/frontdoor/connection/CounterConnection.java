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

/** A connection to the counter: pipelined calls, whose responses arrive in the order of the calls. */
public final class CounterConnection extends StreamConnection {
    /** Is notified of the ends of calls and of the connection's own end. */
    public interface Listener {
        /**
         * A call has ended, by a response or without one.
         *
         * @param total what the counter holds for the name now; 0 unless the outcome is OK
         * @param tookUs how long the call took
         */
        void callEnded(long name, Outcome outcome, double total, long tookUs);

        /** Whether the counter has responded on any connection since that time. */
        boolean hasRespondedSince(long us);

        /** The connection is closed. */
        void connectionClosed(CounterConnection connection);
    }

    private static final int MAX_BUFFER_BYTES = 64 << 10;
    private static final long STALLED_RESPONSE_US = 5_000; // without a byte amid a response of a hundred bytes

    private static final class Call {
        final long name;
        final long sentUs;
        final long endOffset; // of its last byte in the bytes sent on the connection
        boolean reported;

        Call(long name, long sentUs, long endOffset) {
            this.name = name;
            this.sentUs = sentUs;
            this.endOffset = endOffset;
        }
    }

    private final Listener listener;
    private final long timeoutUs;
    private final HttpReader reader = new HttpReader(HttpReader.Kind.RESPONSE);
    private final Deque<Call> pending = new ArrayDeque<>(); // emptied by responses and by the connection's end
    private final Deque<Call> awaited = new ArrayDeque<>(); // those of them that have not timed out
    private long bufferedBytes; // since the connection was opened
    private long writtenBytes; // of the bytes buffered
    private long lastReceivedUs;
    private long partialResponseUs; // when bytes last arrived that left a response incomplete
    private boolean timeoutArmed;
    private boolean draining;

    /**
     * Starts to open a connection to the counter.
     *
     * @param timeoutUs after which a call counts as timed out
     * @throws IOException if the system refuses the socket
     */
    public CounterConnection(
            EventLoop loop, SocketAddress address, long timeoutUs, ResourceBudget budget, Listener listener)
            throws IOException {
        super(loop, address, MAX_BUFFER_BYTES, MAX_BUFFER_BYTES, budget);
        this.listener = listener;
        this.timeoutUs = timeoutUs;
        this.lastReceivedUs = loop.nowUs();
    }

    /**
     * Sends a call that adds an amount to a name.
     *
     * @param timeToLiveMs how long the counter keeps the name
     * @return false if the send buffer has no room for it; the call does not take place then
     */
    public boolean sendCall(long name, double amount, long timeToLiveMs) {
        int before = out.size();
        if (!CounterProtocol.writeRequest(name, amount, timeToLiveMs, out)) {
            return false;
        }
        if (pending.isEmpty()) {
            lastReceivedUs = loop.nowUs();
        }
        bufferedBytes += out.size() - before;
        Call call = new Call(name, loop.nowUs(), bufferedBytes);
        pending.add(call);
        awaited.add(call);
        flush();
        if (!timeoutArmed) {
            timeoutArmed = true;
            loop.scheduleAfter(timeoutUs, this::handleTimeout);
        }
        return true;
    }

    /** No more calls are made: the connection closes once no call is pending. */
    public void drain() {
        draining = true;
        if (pending.isEmpty()) {
            close();
        }
    }

    /** Whether nothing has arrived for longer than that while a call is pending. */
    public boolean isStalled(long stallUs) {
        return !pending.isEmpty() && loop.nowUs() - lastReceivedUs > stallUs;
    }

    private void handleTimeout() {
        timeoutArmed = false;
        if (isClosed()) {
            return;
        }
        if (!isConnected() && !awaited.isEmpty() && loop.nowUs() - awaited.peek().sentUs >= timeoutUs) {
            endCalls(); // never came up: nothing was written, and nothing may be later
            close();
            return;
        }
        if (isStalled(timeoutUs) && listener.hasRespondedSince(pending.peek().sentUs)) {
            abandon(); // this connection alone fell silent: the counter responds on others
            return;
        }
        while (!awaited.isEmpty() && loop.nowUs() - awaited.peek().sentUs >= timeoutUs) {
            report(awaited.poll(), Outcome.TIMED_OUT, 0);
        }
        if (!awaited.isEmpty()) {
            timeoutArmed = true;
            loop.scheduleAt(awaited.peek().sentUs + timeoutUs, this::handleTimeout);
        }
    }

    private void report(Call call, Outcome outcome, double total) {
        if (!call.reported) {
            call.reported = true;
            listener.callEnded(call.name, outcome, total, loop.nowUs() - call.sentUs);
        }
    }

    @Override
    protected void bytesWritten(int count) {
        writtenBytes += count;
    }

    @Override
    protected void bytesReceived() {
        lastReceivedUs = loop.nowUs();
        try {
            while (!isClosed() && reader.read(in)) {
                CounterReply reply = CounterProtocol.readReply(in, reader);
                Call call = pending.poll();
                if (call == null) {
                    close();
                    return;
                }
                awaited.remove(call);
                boolean keepAlive = reader.keepAlive();
                reader.removeMessage(in);
                report(call, reply.outcome(), reply.total());
                if ((!keepAlive || (draining && pending.isEmpty())) && !isClosed()) {
                    endCalls();
                    close();
                }
            }
            if (!isClosed() && !in.isEmpty()) {
                partialResponseUs = lastReceivedUs;
                loop.scheduleAfter(STALLED_RESPONSE_US, this::checkForStall);
            }
        } catch (MalformedMessageException e) {
            responseUnreadable();
        }
    }

    /** The first pending call was added. No later response on this connection can be matched to its call any more. */
    private void responseUnreadable() {
        Call call = pending.poll();
        if (call != null) {
            report(call, Outcome.UNREADABLE, 0);
        }
        abandon();
    }

    /** A response that begins and does not go on would let all calls behind it time out. */
    private void checkForStall() {
        if (!isClosed() && !in.isEmpty() && partialResponseUs == lastReceivedUs) {
            responseUnreadable();
        }
    }

    /** A call that was written completely may have been added, or may yet be; the others never are. */
    @Override
    protected void disconnected(CloseCause cause) {
        endCalls();
    }

    private void endCalls() {
        while (!pending.isEmpty()) {
            Call call = pending.poll();
            report(call, call.endOffset <= writtenBytes ? Outcome.RESET : Outcome.CONNECT_FAILED, 0);
        }
        awaited.clear();
    }

    /** Ends all pending calls and closes the connection. */
    public void abandon() {
        if (!isClosed()) {
            endCalls();
            close();
        }
    }

    @Override
    protected void connectionClosed() {
        listener.connectionClosed(this);
    }
}
