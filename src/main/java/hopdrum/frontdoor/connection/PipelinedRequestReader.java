package hopdrum.frontdoor.connection;

import hopdrum.frontdoor.connection.MemoryBudget.Purpose;
import hopdrum.frontdoor.lifecycle.BufferLimits;
import hopdrum.frontdoor.lifecycle.EventLoop;
import hopdrum.frontdoor.lifecycle.StreamConnection;
import hopdrum.frontdoor.wire.HttpReader;
import hopdrum.frontdoor.wire.MalformedMessageException;
import hopdrum.frontdoor.wire.RingBuffer;
import java.io.IOException;
import java.nio.channels.SocketChannel;

/**
 * The receiving side of a client's connection: hands over requests one at a time, each after the response to the one
 * before. Never stops reading while a request is in flight, since the end of the client's stream stands behind all bytes
 * that it has sent: pipelined requests beyond the receive buffer are rejected.
 */
abstract class PipelinedRequestReader extends StreamConnection {
    /** The longest message that is accepted, with its framing, in bytes. */
    static final int MAX_MESSAGE_BYTES = 128 << 10;

    private static final int MAX_PIPELINE_BYTES = 256 << 10;
    private static final int MAX_BACKLOG_READS_PER_EVENT = 4;
    private static final int MAX_MESSAGES_PER_EVENT = 64; // so that one fast sender does not starve the others
    private static final long MAX_HANDLING_US = 5_000; // for the same reason

    /** Reads the message at the front of the receive buffer. */
    final HttpReader reader = new HttpReader(HttpReader.Kind.REQUEST);

    private final ResourceBudget budget;
    private final PeerPresence presence;
    private final Deferral deferral;
    private ExcessRequests excess; // null while all received bytes are kept
    private long firstMessageArrivalUs; // earliest arrival of the first message; MAX_VALUE once it has arrived
    private long messageArrivalUs; // earliest arrival of the front message's first byte; 0 without a message
    private long nextMessageArrivalUs; // the same for the bytes that arrived behind the front message
    private int backlogReads; // that have followed another in the current event
    private boolean handlingMessages;
    private boolean continuationScheduled;
    private int discardedBytes; // bytes that arrived after the last response

    PipelinedRequestReader(EventLoop loop, SocketChannel channel, long arrivedAtUs, ResourceBudget budget)
            throws IOException {
        super(
                loop,
                channel,
                new BufferLimits(MAX_PIPELINE_BYTES, budget.memoryFor(Purpose.INCOMING_REQUEST)),
                new BufferLimits(HttpReader.RESPONSE_RING_BYTES, budget.memoryFor(Purpose.OUTGOING_RESPONSE)));
        this.budget = budget;
        this.firstMessageArrivalUs = arrivedAtUs;
        this.presence = new PeerPresence(arrivedAtUs);
        this.deferral = new Deferral(loop, this::checkDeferral);
    }

    /** Whether a request is in flight, so that further messages wait for its response. */
    abstract boolean isAwaitingResponse();

    /** Whether the last response has been given, so that everything received is discarded. */
    abstract boolean isClosing();

    /** Called when the first bytes of a message have arrived on an idle connection. */
    abstract void messageStarted();

    /**
     * The longest time, in microseconds, for which the message at the front of the receive buffer may wait until it is
     * known whether its client has left; 0 if it may not wait.
     */
    abstract long maxDeferralUs();

    /** Called when a complete message is at the front of the receive buffer. */
    abstract void messageComplete() throws MalformedMessageException;

    /** Called when the message at the front of the receive buffer cannot be accepted. */
    abstract void messageMalformed(MalformedMessageException e);

    /** Called when the rest of a message is awaited. */
    abstract void messageIncomplete();

    /** Called when all received messages have been handled. */
    abstract void allMessagesHandled();

    /**
     * Buffers the response to a request that was not kept.
     *
     * @param isLast whether no further request has been received
     * @return false if the response has to wait for the send buffer
     */
    abstract boolean rejectExcessRequest(boolean isLast);

    /** Called when responses to requests that were not kept have been buffered. */
    abstract void excessResponsesBuffered();

    /** Called when bytes have been discarded since the connection is closing. */
    abstract void bytesDiscarded(int totalBytes);

    /**
     * The receive buffer. The current message stays at the front of the buffer until its response has been buffered.
     */
    public final RingBuffer messageBuffer() {
        return in;
    }

    /** The positions in the receive buffer of the parts of the message at its front. */
    public final HttpReader message() {
        return reader;
    }

    /**
     * The longest time, in microseconds, for which the first byte of the message at the front may have been waiting
     * here.
     */
    public final long messageAgeUs() {
        return loop.nowUs() - messageArrivalUs;
    }

    /** Whether bytes behind the message at the front have arrived. */
    final boolean hasReceivedMore() {
        return in.size() > reader.messageTo() || excess != null;
    }

    /**
     * Reads what has arrived and returns whether the client has left, or may have left longer ago than an attempt for
     * it may begin. May be called while Policy is calling a method of its Host.
     */
    public final boolean mayHaveLeft() {
        // In the middle of a backlog, one more read would not reach its end.
        boolean isInBacklog = !isDrained() && presence.mayHaveLeft(loop.nowUs());
        return isInBacklog || hasLeftForCertain() || presence.mayHaveLeft(loop.nowUs());
    }

    /** Reads again while the stream is found drained and that does not yet show that the client is there. */
    private boolean hasLeftForCertain() {
        boolean hasLeft = hasPeerLeft();
        for (int reads = 1; reads < PeerPresence.CONFIRMING_READS && !hasLeft && isDrainedAndUncertain(); reads++) {
            hasLeft = hasPeerLeft();
        }
        return hasLeft;
    }

    private boolean isDrainedAndUncertain() {
        return isDrained() && !presence.isCertain();
    }

    @Override
    protected final void readObserved(int count, boolean foundEmpty) {
        if (count > 0) {
            presence.bytesReceived(count, loop.earliestArrivalUs(), loop.nowUs());
        }
        if (foundEmpty) {
            presence.foundEmpty(loop.nowUs());
        }
    }

    @Override
    protected final RingBuffer receiveBuffer() {
        return excess == null ? in : excess.buffer();
    }

    @Override
    protected final void bytesReceived() {
        if (isClosing()) {
            discardedBytes += in.size();
            in.skip(in.size());
            in.shrink();
            bytesDiscarded(discardedBytes);
        } else if (excess != null) {
            excess.bytesReceived();
            answerExcessRequests();
            readBacklog();
        } else if (isAwaitingResponse()) {
            readBacklog();
            nextMessageArrivalUs = nextMessageArrivalUs == 0 ? loop.earliestArrivalUs() : nextMessageArrivalUs;
        } else {
            if (messageArrivalUs == 0) {
                messageArrivalUs = Math.min(loop.earliestArrivalUs(), firstMessageArrivalUs);
                firstMessageArrivalUs = Long.MAX_VALUE;
                messageStarted();
            }
            handleMessages();
        }
    }

    /** Reads a few times more in the same event, since the client may have left behind a backlog. */
    private void readBacklog() {
        if (isDrained() || backlogReads == MAX_BACKLOG_READS_PER_EVENT) {
            backlogReads = 0;
        } else {
            backlogReads++;
            loop.runAfterCurrentEvent(this::readNow);
        }
    }

    /** Handles messages until one is waiting for its response or is incomplete, or until other events have to be. */
    private void handleMessages() {
        if (handlingMessages) {
            return; // the loop below goes on after the response to a message
        }
        handlingMessages = true;
        boolean allHandled = handleNextMessagesOfEvent();
        handlingMessages = false;
        if (allHandled) {
            answerExcessRequests();
        }
    }

    /** Returns false if a message is incomplete or has to be handled later. */
    private boolean handleNextMessagesOfEvent() {
        int handled = 0;
        long latestEndUs = loop.currentTimeUs() + MAX_HANDLING_US;
        try {
            while (!isAwaitingResponse() && !isClosing() && !isClosed() && !in.isEmpty()) {
                boolean isComplete = reader.read(in);
                if (!isComplete && in.isEmpty()) {
                    break; // only line breaks between two messages have arrived
                }
                if (!isComplete) {
                    awaitRestOfMessage();
                    return false;
                }
                if (isDeferred()) {
                    return false;
                }
                if (handled++ == MAX_MESSAGES_PER_EVENT || loop.currentTimeUs() > latestEndUs) {
                    continueInNextRound();
                    return false;
                }
                messageComplete();
            }
        } catch (MalformedMessageException e) {
            messageMalformed(e);
        }
        return true;
    }

    /** Goes on with the next messages after other connections have had their turn. */
    final void continueInNextRound() {
        if (!continuationScheduled) {
            continuationScheduled = true;
            loop.scheduleAfter(1, () -> {
                continuationScheduled = false;
                handleNextMessages();
            });
        }
    }

    private void awaitRestOfMessage() throws MalformedMessageException {
        if (in.size() >= MAX_MESSAGE_BYTES) {
            throw new MalformedMessageException(413, "the message exceeds the receive buffer");
        }
        messageIncomplete();
        awaitMemoryForRest();
    }

    private void awaitMemoryForRest() {
        awaitReceiveMemory(reader.missingBytes(in));
        if (isAwaitingMemory()) {
            presence.readingSuspended(loop.nowUs());
        }
    }

    /**
     * Whether a complete message has to wait until what the client has sent behind it has been read, which may tell
     * that it has left.
     */
    private boolean isDeferred() {
        if (!deferral.isActive()) {
            return mayHaveMoreToRead() && ((isDrained() && hasLeftForCertain()) || startDeferral());
        }
        if (presence.isSettled(deferral.waitedUs()) || deferral.isOver()) {
            deferral.end();
        }
        return deferral.isActive();
    }

    private boolean mayHaveMoreToRead() {
        return !presence.isSettled(deferral.waitedUs())
                && (!isDrained() || hasReceivedMore() || presence.mayHaveLeft(loop.nowUs()));
    }

    /** Returns false if a message need not or must not wait. */
    private boolean startDeferral() {
        long deferralUs = mayHaveMoreToRead() ? maxDeferralUs() : 0;
        if (deferralUs <= 0) {
            return false;
        }
        deferral.start(deferralUs);
        return true;
    }

    private void checkDeferral() {
        for (int reads = 0; reads < PeerPresence.CONFIRMING_READS && isDeferring() && !presence.isQuiet(); reads++) {
            readNow();
        }
        if (isDeferring()) {
            handleMessages();
        }
        if (isClosing() || isClosed()) {
            deferral.end();
        }
    }

    private boolean isDeferring() {
        return deferral.isActive() && !isClosing() && !isClosed();
    }

    @Override
    protected final boolean mayReceiveBufferGrow() {
        return excess != null || !reader.isComplete() || !budget.memory().isLow();
    }

    @Override
    protected final void receiveBufferExhausted() {
        if (isClosing()) {
            return;
        }
        if (!reader.isComplete()) {
            awaitMemoryForRest();
        } else if (excess == null) {
            excess = ExcessRequests.takeIncomplete(in, reader.messageTo(), budget.memoryFor(Purpose.CONTROL));
        }
    }

    /** Answers the requests that were not kept, once all before them have been answered. */
    final void answerExcessRequests() {
        if (isClosed() || isAwaitingResponse() || isClosing() || !in.isEmpty()) {
            return;
        }
        if (excess == null || rejectExcessRequests()) {
            endExcess();
        }
    }

    /** Returns whether all requests that were not kept have been answered and the connection stays open. */
    private boolean rejectExcessRequests() {
        boolean hasRoom = true;
        while (hasRoom && excess.hasUnanswered() && !isClosing()) {
            hasRoom = rejectExcessRequest(excess.isLastUnanswered());
            if (hasRoom) {
                excess.answerOne();
            }
        }
        excessResponsesBuffered();
        return hasRoom && !isClosing() && !isClosed();
    }

    private void endExcess() {
        if (excess != null && excess.lastStatus() != 0) {
            messageMalformed(new MalformedMessageException(excess.lastStatus(), "a request beyond the receive buffer"));
        } else if (excess != null && !excess.isBetweenRequests()) {
            messageIncomplete();
        } else {
            freeExcess();
            messageArrivalUs = 0;
            allMessagesHandled();
            updateInterest();
        }
    }

    /** Whether a request that was not kept is being received or has not been answered. */
    final boolean hasExcess() {
        return excess != null;
    }

    /** Releases the memory of requests that were not kept. */
    final void freeExcess() {
        if (excess != null) {
            excess.free();
            excess = null;
        }
    }

    /** Removes the message at the front, whose response has been buffered. */
    final void removeMessage() {
        reader.removeMessage(in);
        messageArrivalUs = in.isEmpty() ? 0 : nextMessageArrivalUs == 0 ? messageArrivalUs : nextMessageArrivalUs;
        nextMessageArrivalUs = 0;
    }

    /** Discards all messages, since the last response has been given. */
    final void discardMessages() {
        in.skip(in.size());
        in.shrink();
        freeExcess();
    }

    /** Whether messages are being handled, so that the next one follows by itself. */
    final boolean isHandlingMessages() {
        return handlingMessages;
    }

    /** Handles the messages that have arrived behind one whose response has been buffered. */
    final void handleNextMessages() {
        if (!isClosed() && !isAwaitingResponse() && !isClosing()) {
            handleMessages();
            updateInterest();
        }
    }
}
