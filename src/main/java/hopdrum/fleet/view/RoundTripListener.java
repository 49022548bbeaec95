package hopdrum.fleet.view;

import hopdrum.fleet.message.Member;

/** Receives the round-trip times that the failure detector's direct pings measure. */
interface RoundTripListener {
    /**
     * Called when a direct ping has been acknowledged.
     *
     * @param peer the peer that has acknowledged the ping
     * @param roundTripUs time from ping to ack, microseconds
     * @param nowUs monotonic time, microseconds
     */
    void onRoundTrip(Member peer, long roundTripUs, long nowUs);
}
