package hopdrum.frontdoor.lifecycle;

/** How a connection came to be disconnected, if not by {@link StreamConnection#close}. */
public enum CloseCause {
    /** The other side has ended its stream. */
    END_OF_STREAM,
    /** The connection was refused or reset, or has failed. */
    FAILURE
}
