package hopdrum.fleet.view;

import hopdrum.fleet.message.Member;

/** Receives the round-trip times that the failure detector's direct pings measure. */
interface RoundTripListener {
    /**
     * A direct ping was answered.
     *
     * @param peer the peer that answered
     * @param roundTripUs from ping to ack, microseconds
     * @param nowUs monotonic time, microseconds
     */
    void onRoundTrip(Member peer, long roundTripUs, long nowUs);
}
