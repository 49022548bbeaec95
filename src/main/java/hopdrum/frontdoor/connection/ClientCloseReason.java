package hopdrum.frontdoor.connection;

/** Why a client's connection was closed; counted in the log's summary. */
public enum ClientCloseReason {
    /** The client has closed the connection or ended its stream. */
    CLIENT_CLOSED,
    /** The connection was reset or has failed. */
    FAILED,
    /** The client did not close the connection within the time given for it after the last response. */
    LINGER_ENDED,
    /** The client kept sending after the last response. */
    SENT_AFTER_LAST_RESPONSE,
    /** The client did not read its responses, or did not send the rest of a request, in time. */
    TOO_SLOW,
    /** The connection made room for another one. */
    EVICTED,
    /** The send buffer had no room for a response. */
    NO_RESPONSE_BUFFER,
    /** The front door has ended. */
    SHUTDOWN
}
