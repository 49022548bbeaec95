package hopdrum.fleet.message;

import java.util.regex.Pattern;

/**
 * One start of one front door.
 *
 * @param name its name in the fleet, the same after a restart
 * @param start a number that grows with each start of this name; distinguishes restarts
 * @param voter its identity as a voter on views, drawn at random when its store was created
 * @param operator the operator that runs it
 * @param site the site where it runs
 * @param gateway its number in its operator's tier, from 0
 * @param address where its peers reach it, a numeric address and a port
 * @param serves where RPCs reach it; null where it takes none from partners
 */
public record Member(
        String name, long start, long voter, String operator, String site, int gateway, String address, String serves) {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
    private static final Pattern ADDRESS = Pattern.compile("(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:.]+]):\\d{1,5}");
    private static final int MAX_GATEWAYS = 100_000;

    /** Checks the components; throws IllegalArgumentException where one cannot be. */
    public Member {
        check(isName(name) && isName(operator) && isName(site), "a name");
        check(start > 0 && voter != 0, "a start");
        check(gateway >= 0 && gateway < MAX_GATEWAYS, "a gateway's number");
        check(address != null && ADDRESS.matcher(address).matches(), "an address");
        check(serves == null || ADDRESS.matcher(serves).matches(), "an address");
    }

    /**
     * Makes a member that takes no RPCs from partners.
     *
     * @param name its name in the fleet
     * @param start its start number
     * @param voter its voter number
     * @param operator the operator that runs it
     * @param site the site where it runs
     * @param gateway its number in its operator's tier, from 0
     * @param address where its peers reach it
     */
    public Member(String name, long start, long voter, String operator, String site, int gateway, String address) {
        this(name, start, voter, operator, site, gateway, address, null);
    }

    /**
     * Returns whether a text is valid as the name of a member, operator, site, fleet or agreement.
     *
     * @param text the text; may be null
     * @return true for letters, digits, dot, dash and underscore, 64 at most, the first a letter or digit
     */
    public static boolean isName(String text) {
        return text != null && NAME.matcher(text).matches();
    }

    /**
     * Returns whether another record describes the same start of the same front door.
     *
     * @param other the other; may be null
     * @return true where name, start and voter are the same
     */
    public boolean isSameStart(Member other) {
        return other != null && start == other.start && voter == other.voter && name.equals(other.name);
    }

    /**
     * Checks a component of a message or record.
     *
     * @param holds whether it can be
     * @param what what is checked, for the exception's text
     * @throws IllegalArgumentException where it does not hold
     */
    public static void check(boolean holds, String what) {
        if (!holds) {
            throw new IllegalArgumentException("a message holds " + what + " that cannot be");
        }
    }
}
