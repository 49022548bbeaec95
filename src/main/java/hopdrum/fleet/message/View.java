package hopdrum.fleet.message;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * A settled view: who is in the fleet, as agreed. Era and number together name one view, for ever.
 *
 * @param era microseconds of the wall clock at the fleet's founding; 0 before that
 * @param number from 1 on; 0 before the founding
 * @param members sorted by name
 * @param division who owns which shard; null where nothing is split between partners
 */
public record View(long era, long number, List<Member> members, ShardAssignment division) {
    /** What stands before a fleet is founded. */
    public static final View NONE = new View(0, 0, List.of());

    private static final int MOST_MEMBERS = 2_000;

    public View {
        Member.check(era >= 0 && number >= 0, "a view's number");
        Member.check(members != null && members.size() <= MOST_MEMBERS, "a view");
        members = List.copyOf(members);
        Set<String> names = new HashSet<>();
        for (Member member : members) {
            Member.check(names.add(member.name()), "a name twice");
        }
    }

    /** Of a fleet whose operators share no shards. */
    public View(long era, long number, List<Member> members) {
        this(era, number, members, null);
    }

    /** The operators that have a member in it. */
    public Set<String> operators() {
        Set<String> all = new TreeSet<>();
        members.forEach(m -> all.add(m.operator()));
        return all;
    }

    /** Null where the view has no such name. */
    public Member named(String name) {
        for (Member member : members) {
            if (member.name().equals(name)) {
                return member;
            }
        }
        return null;
    }

    /** This very start is in the view. */
    public boolean has(Member member) {
        return member.is(named(member.name()));
    }

    public boolean isNamed(long otherEra, long otherNumber) {
        return era == otherEra && number == otherNumber;
    }

    public int majority() {
        return members.size() / 2 + 1;
    }
}
