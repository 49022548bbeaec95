package hopdrum.fleet.message;

/** One try to agree on a view; tries are ordered. */
public record Ballot(long round, String proposer) implements Comparable<Ballot> {
    public static final Ballot NONE = new Ballot(0, "none");

    public Ballot {
        Member.check(round >= 0 && round < Long.MAX_VALUE / 2 && Member.isName(proposer), "a ballot");
    }

    @Override
    public int compareTo(Ballot other) {
        return round != other.round ? Long.compare(round, other.round) : proposer.compareTo(other.proposer);
    }
}
