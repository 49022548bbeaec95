package hopdrum.frontdoor.connection;

import hopdrum.frontdoor.wire.MalformedMessageException;

/** Is notified of the messages of client connections, of changes of their state, and of their closing. */
public interface ClientConnectionListener {
    /**
     * Called when a complete message is at the front of the receive buffer.
     *
     * @param client the connection
     * @throws MalformedMessageException if the message is rejected; the exception's status is sent as the response
     */
    void messageReceived(ClientConnection client) throws MalformedMessageException;

    /**
     * The longest time, in microseconds, for which the complete message at the front of the receive buffer may wait
     * until it is known whether its client has left; 0 or less if it may not wait.
     */
    long maxDeferralUs(ClientConnection client);

    /** Called when all received messages are handled and no request is in flight on the connection. */
    void connectionIdle(ClientConnection client);

    /** Called when a pipelined request beyond the receive buffer has been rejected. */
    void excessRequestRejected();

    /** Called when the connection is no longer idle. */
    void connectionBusy(ClientConnection client);

    /** Called when the outgoing stream has ended and the connection waits for the client to close it. */
    void connectionLingering(ClientConnection client);

    /** Called when the connection has been closed with a request in flight on it; before {@link #connectionClosed}. */
    void clientDisconnected(ClientConnection client);

    /**
     * Called when the connection has been closed.
     *
     * @param client the connection
     * @param reason why the connection was closed
     */
    void connectionClosed(ClientConnection client, ClientCloseReason reason);

    /**
     * Whether the connection is to be closed after the next response.
     *
     * @param moreReceived whether bytes of a further message have arrived behind the one that gets the response
     */
    boolean closesAfterResponse(boolean moreReceived);
}
