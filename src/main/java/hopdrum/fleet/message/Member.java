package hopdrum.fleet.message;

import java.util.regex.Pattern;

/**
 * One start of one front door. A restart of the front door is another member under the same name.
 *
 * @param name the front door's name in the fleet, the same after a restart
 * @param start the start number, above 0; grows with each start under this name
 * @param voter the identity as a voter on views, not 0; drawn at random when the front door's store was created
 * @param operator the operator that runs the front door
 * @param site the site where the front door runs
 * @param gateway the front door's number in the tier of its operator, from 0
 * @param address where peers reach the front door, a numeric address and a port
 * @param serves where requests of partners reach the front door, a numeric address and a port; null if it takes none
 */
public record Member(
        String name, long start, long voter, String operator, String site, int gateway, String address, String serves) {
    private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
    private static final Pattern ADDRESS_PATTERN =
            Pattern.compile("(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:.]+]):\\d{1,5}");
    private static final int MAX_GATEWAYS = 100_000;

    /** Validates the components; throws IllegalArgumentException if one is invalid. */
    public Member {
        checkComponent(isName(name) && isName(operator) && isName(site), "name of a member, operator or site");
        checkComponent(start > 0 && voter != 0, "start or voter number");
        checkComponent(gateway >= 0 && gateway < MAX_GATEWAYS, "gateway number");
        checkComponent(address != null && ADDRESS_PATTERN.matcher(address).matches(), "address for peers");
        checkComponent(serves == null || ADDRESS_PATTERN.matcher(serves).matches(), "address for requests");
    }

    /**
     * Creates a member that takes no requests from partners.
     *
     * @param name the front door's name in the fleet
     * @param start the start number, above 0
     * @param voter the voter number, not 0
     * @param operator the operator that runs the front door
     * @param site the site where the front door runs
     * @param gateway the front door's number in the tier of its operator, from 0
     * @param address where peers reach the front door, a numeric address and a port
     */
    public Member(String name, long start, long voter, String operator, String site, int gateway, String address) {
        this(name, start, voter, operator, site, gateway, address, null);
    }

    /**
     * Returns whether a text is valid as the name of a member, operator, site, fleet or agreement.
     *
     * @param text the text; may be null
     * @return true for 1 to 64 ASCII letters, digits, dots, dashes and underscores that start with a letter or digit
     */
    public static boolean isName(String text) {
        return text != null && NAME_PATTERN.matcher(text).matches();
    }

    /**
     * Returns whether another record describes the same start of the same front door.
     *
     * @param other the other record; may be null
     * @return true if name, start and voter are the same
     */
    public boolean isSameStart(Member other) {
        return other != null && start == other.start && voter == other.voter && name.equals(other.name);
    }

    /**
     * Checks a component of a message or of a record in a message.
     *
     * @param isValid whether the component is valid
     * @param component the component in words, for the exception's message
     * @throws IllegalArgumentException if the component is invalid
     */
    public static void checkComponent(boolean isValid, String component) {
        if (!isValid) {
            throw new IllegalArgumentException("invalid fleet data (" + component + ")");
        }
    }
}
