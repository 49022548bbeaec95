package hopdrum.frontdoor.connection;

import hopdrum.frontdoor.connection.MemoryBudget.Purpose;
import hopdrum.frontdoor.lifecycle.BufferLimits;
import hopdrum.frontdoor.lifecycle.CloseCause;
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

/** A connection to the counter. Calls are pipelined; their responses arrive in the order of the calls. */
public final class CounterConnection extends StreamConnection {
    /** Is notified of ended calls and of the connection's closing. */
    public interface Listener {
        /**
         * Called when a call has ended, with or without a response.
         *
         * @param name the name whose total the call added to
         * @param outcome how the call ended
         * @param total the total that the counter holds for the name after the call; 0 unless the outcome is OK
         * @param durationUs how long the call took, in microseconds
         */
        void callEnded(long name, Outcome outcome, double total, long durationUs);

        /** Whether the counter has responded on any connection since a time of the event loop's clock. */
        boolean hasRespondedSince(long sinceUs);

        /** Called when the connection has been closed. */
        void connectionClosed(CounterConnection connection);
    }

    private static final int MAX_BUFFER_BYTES = 64 << 10;
    // A counter that answers slowly but steadily may be sent calls faster than it answers them, and never stalls.
    private static final int MAX_PENDING_CALLS = 4096;
    // Without a byte in the middle of a response, which has about a hundred bytes.
    private static final long STALL_TIMEOUT_US = 5_000;

    private static final class Call {
        final long name;
        final long sentUs;
        final long endOffset; // the number of bytes buffered on the connection up to the end of this call
        boolean reported; // whether the listener was notified of the call's end

        Call(long name, long sentUs, long endOffset) {
            this.name = name;
            this.sentUs = sentUs;
            this.endOffset = endOffset;
        }
    }

    private final Listener listener;
    private final long timeoutUs;
    private final HttpReader reader = new HttpReader(HttpReader.Kind.RESPONSE);
    private final Deque<Call> pendingCalls = new ArrayDeque<>(); // calls without a response, in the order sent
    private final Deque<Call> awaitedCalls = new ArrayDeque<>(); // the pending calls that have not timed out
    private long bufferedBytes; // total of bytes put into the send buffer since the connection was opened
    private long writtenBytes; // how many of bufferedBytes were written to the socket
    private long lastReceivedUs;
    private long lastPartialReadUs; // when bytes last arrived that left a response incomplete
    private boolean timeoutArmed;
    private boolean draining;

    /**
     * Starts to connect to the counter.
     *
     * @param loop the event loop on which the connection is handled
     * @param address the counter's address
     * @param timeoutUs the time after which a call counts as timed out, in microseconds
     * @param budget counts the memory that the connection's buffers take
     * @param listener is notified of the connection's events
     * @throws IOException if no socket can be opened, or if connecting fails at once
     */
    public CounterConnection(
            EventLoop loop, SocketAddress address, long timeoutUs, ResourceBudget budget, Listener listener)
            throws IOException {
        super(
                loop,
                address,
                new BufferLimits(MAX_BUFFER_BYTES, budget.memoryFor(Purpose.CONTROL)),
                new BufferLimits(MAX_BUFFER_BYTES, budget.memoryFor(Purpose.CONTROL)));
        this.listener = listener;
        this.timeoutUs = timeoutUs;
        this.lastReceivedUs = loop.nowUs();
    }

    /**
     * Sends a call that adds an amount to the total of a name.
     *
     * @param name the name
     * @param amount the amount to add
     * @param timeToLiveMs how long the counter keeps the name, in milliseconds
     * @return false if too many calls are pending or the send buffer has no room for the call, which is not made then
     */
    public boolean sendCall(long name, double amount, long timeToLiveMs) {
        int sizeBefore = out.size();
        if (pendingCalls.size() == MAX_PENDING_CALLS) {
            return false;
        }
        if (!CounterProtocol.writeRequest(name, amount, timeToLiveMs, out)) {
            return false;
        }
        if (pendingCalls.isEmpty()) {
            lastReceivedUs = loop.nowUs();
        }
        bufferedBytes += out.size() - sizeBefore;
        Call call = new Call(name, loop.nowUs(), bufferedBytes);
        pendingCalls.add(call);
        awaitedCalls.add(call);
        flush();
        if (!timeoutArmed) {
            timeoutArmed = true;
            loop.scheduleAfter(timeoutUs, this::handleTimeout);
        }
        return true;
    }

    /** Closes the connection once no call is pending. No more calls may be sent on the connection. */
    public void drain() {
        draining = true;
        if (pendingCalls.isEmpty()) {
            close();
        }
    }

    /** Whether a call is pending and nothing has arrived for longer than a time in microseconds. */
    public boolean isStalled(long thresholdUs) {
        return !pendingCalls.isEmpty() && loop.nowUs() - lastReceivedUs > thresholdUs;
    }

    private void handleTimeout() {
        timeoutArmed = false;
        if (isClosed()) {
            return;
        }
        if (!isConnected() && !awaitedCalls.isEmpty() && loop.nowUs() - awaitedCalls.peek().sentUs >= timeoutUs) {
            endPendingCalls(); // never connected: no call was written, and none may be written later
            close();
            return;
        }
        if (isStalled(timeoutUs) && listener.hasRespondedSince(pendingCalls.peek().sentUs)) {
            abandon(); // only this connection is silent: the counter responds on others
            return;
        }
        while (!awaitedCalls.isEmpty() && loop.nowUs() - awaitedCalls.peek().sentUs >= timeoutUs) {
            reportEnd(awaitedCalls.poll(), Outcome.TIMED_OUT, 0);
        }
        if (!awaitedCalls.isEmpty()) {
            timeoutArmed = true;
            loop.scheduleAt(awaitedCalls.peek().sentUs + timeoutUs, this::handleTimeout);
        }
    }

    private void reportEnd(Call call, Outcome outcome, double total) {
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
                Call call = pendingCalls.poll();
                if (call == null) {
                    close();
                    return;
                }
                awaitedCalls.remove(call);
                boolean keepAlive = reader.keepAlive();
                reader.removeMessage(in);
                reportEnd(call, reply.outcome(), reply.total());
                if ((!keepAlive || (draining && pendingCalls.isEmpty())) && !isClosed()) {
                    endPendingCalls();
                    close();
                }
            }
            if (!isClosed() && !in.isEmpty()) {
                lastPartialReadUs = lastReceivedUs;
                loop.scheduleAfter(STALL_TIMEOUT_US, this::checkForStall);
            }
        } catch (MalformedMessageException e) {
            failUnreadableResponse();
        }
    }

    /**
     * Ends the first pending call as unreadable, since the counter has executed the call, and abandons the connection,
     * since later responses cannot be matched to their calls any more.
     */
    private void failUnreadableResponse() {
        Call call = pendingCalls.poll();
        if (call != null) {
            reportEnd(call, Outcome.UNREADABLE, 0);
        }
        abandon();
    }

    /** Treats a response that has begun and then stalls as unreadable; otherwise all calls behind it would time out. */
    private void checkForStall() {
        if (!isClosed() && !in.isEmpty() && lastPartialReadUs == lastReceivedUs) {
            failUnreadableResponse();
        }
    }

    @Override
    protected void disconnected(CloseCause cause) {
        endPendingCalls();
    }

    /**
     * Ends all pending calls. A call that was written completely may have been executed or may be executed later; the
     * others never are.
     */
    private void endPendingCalls() {
        while (!pendingCalls.isEmpty()) {
            Call call = pendingCalls.poll();
            reportEnd(call, call.endOffset <= writtenBytes ? Outcome.RESET : Outcome.CONNECT_FAILED, 0);
        }
        awaitedCalls.clear();
    }

    /** Ends all pending calls and closes the connection. */
    public void abandon() {
        if (!isClosed()) {
            endPendingCalls();
            close();
        }
    }

    @Override
    protected void connectionClosed() {
        listener.connectionClosed(this);
    }
}
