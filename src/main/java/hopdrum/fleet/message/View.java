package hopdrum.fleet.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * A settled view: the members of the fleet, as agreed by a quorum. Era and number together identify the view uniquely.
 *
 * @param era the time of the fleet's founding, microseconds of the wall clock; 0 before the founding
 * @param number the number of the view, from 1; 0 before the founding
 * @param members the members, sorted by name
 * @param shardAssignment the owners of the shards; null if partners share no shards
 */
public record View(
        long era,
        long number,
        List<Member> members,
        @JsonProperty("division") ShardAssignment shardAssignment) {
    /** The view before a fleet is founded; it has no members. */
    public static final View NONE = new View(0, 0, List.of());

    private static final int MAX_MEMBERS = 2_000;

    /** Validates the components; throws IllegalArgumentException if one is invalid. */
    public View {
        Member.checkComponent(era >= 0 && number >= 0, "era or number of a view");
        Member.checkComponent(members != null && members.size() <= MAX_MEMBERS, "number of members in a view");
        members = List.copyOf(members);
        Set<String> names = new HashSet<>();
        for (Member member : members) {
            Member.checkComponent(names.add(member.name()), "list of members: a name twice");
        }
    }

    /**
     * Creates a view of a fleet whose operators share no shards.
     *
     * @param era the fleet's era
     * @param number the view's number
     * @param members the members, sorted by name
     */
    public View(long era, long number, List<Member> members) {
        this(era, number, members, null);
    }

    /**
     * Returns the operators that have a member in the view.
     *
     * @return the names of the operators, sorted
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
     * @return the member; null if the view has no member of that name
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
     * Returns whether a member is in the view.
     *
     * @param member the member, one start of a front door
     * @return true if this start of the front door is in the view; false also if another start of it is
     */
    public boolean contains(Member member) {
        return member.isSameStart(member(member.name()));
    }

    /**
     * Returns whether an era and a number identify this view.
     *
     * @param otherEra the era to compare
     * @param otherNumber the number to compare
     * @return true if both are equal to this view's
     */
    public boolean hasId(long otherEra, long otherNumber) {
        return era == otherEra && number == otherNumber;
    }

    /**
     * Returns the number of members that form a majority of the view: the quorum that settles the next view.
     *
     * @return more than half of the number of members
     */
    public int majoritySize() {
        return members.size() / 2 + 1;
    }
}
