package hopdrum.fleet.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * A settled view: the members of the fleet, as agreed by a quorum. Era and number together identify one view uniquely.
 *
 * @param era microseconds of the wall clock at the fleet's founding; 0 before that
 * @param number from 1 on; 0 before the founding
 * @param members sorted by name
 * @param shardAssignment who owns which shard; null where no shards are shared between partners
 */
public record View(
        long era,
        long number,
        List<Member> members,
        @JsonProperty("division") ShardAssignment shardAssignment) {
    /** The view before a fleet is founded: no members. */
    public static final View NONE = new View(0, 0, List.of());

    private static final int MAX_MEMBERS = 2_000;

    /** Checks the components; throws IllegalArgumentException where one cannot be. */
    public View {
        Member.check(era >= 0 && number >= 0, "a view's number");
        Member.check(members != null && members.size() <= MAX_MEMBERS, "a view");
        members = List.copyOf(members);
        Set<String> names = new HashSet<>();
        for (Member member : members) {
            Member.check(names.add(member.name()), "a name twice");
        }
    }

    /**
     * Makes a view of a fleet whose operators share no shards.
     *
     * @param era the fleet's era
     * @param number the view's number
     * @param members sorted by name
     */
    public View(long era, long number, List<Member> members) {
        this(era, number, members, null);
    }

    /**
     * Returns the operators that have a member in the view.
     *
     * @return their names, sorted
     */
    public Set<String> operators() {
        Set<String> all = new TreeSet<>();
        members.forEach(m -> all.add(m.operator()));
        return all;
    }

    /**
     * Finds a member by name.
     *
     * @param name the member's name
     * @return the member; null where the view has no such name
     */
    public Member member(String name) {
        for (Member member : members) {
            if (member.name().equals(name)) {
                return member;
            }
        }
        return null;
    }

    /**
     * Returns whether this start of a front door is in the view.
     *
     * @param member the member
     * @return false for another start of the same name
     */
    public boolean contains(Member member) {
        return member.isSameStart(member(member.name()));
    }

    /**
     * Returns whether this view is identified by an era and number.
     *
     * @param otherEra the era
     * @param otherNumber the number
     * @return true where both are this view's
     */
    public boolean hasId(long otherEra, long otherNumber) {
        return era == otherEra && number == otherNumber;
    }

    /**
     * Returns the quorum that settles the next view.
     *
     * @return how many members are a majority
     */
    public int majoritySize() {
        return members.size() / 2 + 1;
    }
}
