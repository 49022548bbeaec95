package hopdrum.fleet.view;

/** Lifeguard's dynamic suspicion timeout: it shrinks, by the logarithm, from the longest to the least as others confirm. */
final class SuspicionTimeout {
    private final FleetTiming timing;

    SuspicionTimeout(FleetTiming timing) {
        this.timing = timing;
    }

    /**
     * When the suspect is to be declared dead unless it refutes.
     *
     * @param presentPeers how many peers are present, the suspect among them
     */
    long deadlineUs(Peer suspect, int presentPeers) {
        int confirmers = Math.min(Peer.MAX_CONFIRMATIONS, presentPeers - 1);
        double confirmed = confirmers <= 0
                ? 1
                : Math.log(Math.min(confirmers, suspect.confirmations()) + 1) / Math.log(confirmers + 1);
        long max = timing.maxSuspicionUs();
        long min = timing.minSuspicionUs();
        return suspect.stateSinceUs() + Math.max(min, (long) (max - confirmed * (max - min)));
    }
}
