package hopdrum.fleet.message;

/**
 * One attempt to agree on a view; ballots are totally ordered, by round and then by proposer.
 *
 * @param round from 1 on; 0 in {@link #NONE}
 * @param proposer the name of the member that proposes
 */
public record Ballot(long round, String proposer) implements Comparable<Ballot> {
    /** Below all ballots that are ever proposed. */
    public static final Ballot NONE = new Ballot(0, "none");

    /** Checks the components; throws IllegalArgumentException where one cannot be. */
    public Ballot {
        Member.check(round >= 0 && round < Long.MAX_VALUE / 2 && Member.isName(proposer), "a ballot");
    }

    @Override
    public int compareTo(Ballot other) {
        return round != other.round ? Long.compare(round, other.round) : proposer.compareTo(other.proposer);
    }
}
