package hopdrum.fleet.view;

/**
 * Lifeguard's dynamic suspicion timeout, which shrinks logarithmically from its maximum to its minimum as other members
 * confirm the suspicion.
 */
final class SuspicionTimeout {
    private final FleetTiming timing;

    SuspicionTimeout(FleetTiming timing) {
        this.timing = timing;
    }

    /**
     * Returns when the suspect is to be declared dead unless it refutes, microseconds.
     *
     * @param presentPeers the number of peers present, including the suspect
     */
    long deadlineUs(Peer suspect, int presentPeers) {
        int confirmers = Math.min(Peer.MAX_CONFIRMATIONS, presentPeers - 1);
        double confirmedFraction = confirmers <= 0
                ? 1
                : Math.log(Math.min(confirmers, suspect.confirmations()) + 1) / Math.log(confirmers + 1);
        long maxUs = timing.maxSuspicionUs();
        long minUs = timing.minSuspicionUs();
        return suspect.stateSinceUs() + Math.max(minUs, (long) (maxUs - confirmedFraction * (maxUs - minUs)));
    }
}
