package hopdrum.fleet.message;

/**
 * The number of one Paxos round on a view. Ballots are totally ordered, by round and then by proposer.
 *
 * @param round the round, from 1; 0 in {@link #NONE}
 * @param proposer the name of the member that proposes the view
 */
public record Ballot(long round, String proposer) implements Comparable<Ballot> {
    /** The ballot that is lower than all ballots that are proposed. */
    public static final Ballot NONE = new Ballot(0, "none");

    /** Validates the components; throws IllegalArgumentException if one is invalid. */
    public Ballot {
        Member.checkComponent(round >= 0 && round < Long.MAX_VALUE / 2 && Member.isName(proposer), "ballot");
    }

    @Override
    public int compareTo(Ballot other) {
        return round != other.round ? Long.compare(round, other.round) : proposer.compareTo(other.proposer);
    }
}
