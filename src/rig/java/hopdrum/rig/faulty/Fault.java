package hopdrum.rig.faulty;

import java.util.Locale;

/**
 * A deliberate fault, or a reference for comparison. A trial file names the fault in lower case under the key
 * {@code planted}.
 */
enum Fault {
    /** Holds its lease ten times as long as the fleet has agreed. */
    LONG_LEASE,
    /** Sends peers a view with the front door as its only member, which no majority has accepted. */
    LONE_VIEW,
    /** Sends each peer a different view under the same era and number. */
    TWO_VIEWS,
    /** Logs a view whose number has gone back to 0. */
    GOES_BACK,
    /** Logs its start a second time with the same incarnation number. */
    OLD_START,
    /** Logs that the front door acts on all shards. */
    ACTS_ON_ALL,
    /** Logs a shard assignment under terms that the partner has not agreed to. */
    LONE_TERMS,
    /** Forwards each request to its backend twice. */
    TWICE,
    /** Closes each connection without an answer. */
    SILENT,
    /** Forwards all requests, regardless of quotas. */
    LAVISH,
    /** Forwards all requests and does not exit on SIGTERM. */
    DEAF,
    /** Forwards each request to another operator's front door as well. */
    BOTH,
    /** Is no fault but a reference: places requests by the injected delays, which are known at once. */
    ALL_KNOWING,
    /** Is no fault but a reference: places all requests at the own site's backends while these are reachable. */
    NEAREST;

    /** Returns the fault that a trial file calls {@code key}, or throws an {@link IllegalArgumentException}. */
    static Fault of(String key) {
        for (Fault fault : values()) {
            if (fault.key().equals(key)) {
                return fault;
            }
        }
        throw new IllegalArgumentException("unknown fault: " + key);
    }

    private String key() {
        return name().toLowerCase(Locale.ROOT);
    }
}
