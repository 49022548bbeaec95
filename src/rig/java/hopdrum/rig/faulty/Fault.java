package hopdrum.rig.faulty;

import java.util.Locale;

/** A deliberate fault, or a reference for comparison; a trial file names it in lower case under {@code planted}. */
enum Fault {
    /** Holds its lease ten times as long as the fleet has agreed. */
    LONG_LEASE,
    /** Tells peers of a view of itself alone that nobody has agreed to. */
    LONE_VIEW,
    /** Tells each peer of a different view under the same number. */
    TWO_VIEWS,
    /** Logs that its view has gone back to number 0. */
    GOES_BACK,
    /** Logs once more that it starts, with the same start. */
    OLD_START,
    /** Logs that it acts on all shards. */
    ACTS_ON_ALL,
    /** Logs a division by terms that its partner has not agreed to. */
    LONE_TERMS,
    /** Forwards each request twice. */
    TWICE,
    /** Closes connections without an answer. */
    SILENT,
    /** Forwards all requests, whatever the quota. */
    LAVISH,
    /** Forwards all requests and does not end at SIGTERM. */
    DEAF,
    /** Forwards each request to another operator's front door as well. */
    BOTH,
    /** No fault: places requests by the true latencies, which it knows at once. */
    ALL_KNOWING,
    /** No fault: places all requests at its own site's backends while these are reachable. */
    NEAREST;

    /** The fault with this name in a trial file. */
    static Fault of(String key) {
        for (Fault fault : values()) {
            if (fault.key().equals(key)) {
                return fault;
            }
        }
        throw new IllegalArgumentException("no such fault: " + key);
    }

    private String key() {
        return name().toLowerCase(Locale.ROOT);
    }
}
