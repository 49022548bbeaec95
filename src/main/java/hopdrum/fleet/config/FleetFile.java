package hopdrum.fleet.config;

import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.ShardAssignment;
import hopdrum.fleet.view.FleetTiming;
import java.nio.file.Path;
import java.util.List;
import org.yaml.snakeyaml.nodes.Node;

/**
 * The settings of a fleet member, from the file that {@code serve --fleet} names. docs/fleet.md describes the keys.
 *
 * @param fleetName the name of the fleet
 * @param operator the name of this front door's operator
 * @param operators the names of all operators whose front doors may join, in the order of their tiers
 * @param site the name of this front door's site
 * @param name this front door's name in the fleet
 * @param listenAddress the numeric address and port to listen on for connections of peers
 * @param advertisedAddress the numeric address and port at which peers reach this front door
 * @param seedAddresses the addresses of members to join the fleet through
 * @param founders the names of the members that must all be up before a new fleet forms
 * @param storeFolder the folder that stores this member's durable state
 * @param logFile the file to which decisions are logged; null for standard error
 * @param timing the fleet's intervals
 * @param usesLatencyMap whether the latency map affects the choice of backends for requests
 * @param shardCount the number of shards; 0 if customers are not shared with partners
 * @param partnerAddress the numeric address and port for requests of partners; null if none are accepted
 * @param termsFile the operator's terms file; null if there is none
 * @param maxAloneMs the longest time for which an agreement may let an operator act alone, milliseconds
 */
public record FleetFile(
        String fleetName,
        String operator,
        List<String> operators,
        String site,
        String name,
        String listenAddress,
        String advertisedAddress,
        List<String> seedAddresses,
        List<String> founders,
        Path storeFolder,
        Path logFile,
        FleetTiming timing,
        boolean usesLatencyMap,
        int shardCount,
        String partnerAddress,
        Path termsFile,
        long maxAloneMs) {
    private static final String NAME =
            "a name: at most 64 letters, digits, dots, dashes and underscores, starting with a letter or digit";
    private static final String ADDRESS = "a numeric address and a port, such as 127.0.0.1:7401";
    private static final int MIN_PERIODS_PER_LEASE = 5;
    private static final int MAX_PORT = 65_535;

    /**
     * Reads a fleet file and reports all its faults together.
     *
     * @param file the path of the fleet file
     * @return the settings, with defaults for missing keys
     * @throws InvalidFileException if the file cannot be read or has a fault; the message lists all faults
     */
    public static FleetFile read(Path file) throws InvalidFileException {
        return read(YamlFileReader.open(file));
    }

    private static FleetFile read(YamlFileReader reader) throws InvalidFileException {
        String fleetName = reader.text("fleet", null, Member::isName, NAME);
        String operator = reader.text("operator", null, Member::isName, NAME);
        List<String> operators = reader.list("operators", false, Member::isName, NAME);
        String site = reader.text("site", null, Member::isName, NAME);
        String name = reader.text("name", null, Member::isName, NAME);
        String listen = reader.text("listen", null, FleetFile::isAddress, ADDRESS);
        String advertised = reader.text("advertise", listen == null ? "" : listen, FleetFile::isAddress, ADDRESS);
        List<String> seedAddresses = reader.list("seeds", true, FleetFile::isAddress, ADDRESS);
        List<String> founders = reader.list("founders", true, Member::isName, NAME);
        String storeFolder = reader.text("store", null, FleetFile::isPath, "a folder");
        String logFile = reader.text("log", "", FleetFile::isPath, "a file");
        String placement = reader.text("placement", "map", FleetFile::isPlacement, "map or plain");
        long shardCount = reader.wholeNumber("shards", 0, 0, ShardAssignment.MAX_SHARDS);
        String partnerAddress = reader.text("serves", "", FleetFile::isAddress, ADDRESS);
        String termsFile = reader.text("terms", "", FleetFile::isPath, "a file");
        long maxAloneMs = reader.wholeNumber("most_alone_ms", 30_000, 0, 240_000);
        checkShardsGiven(reader, shardCount, partnerAddress + termsFile);
        FleetTiming timing = readTiming(reader);
        checkOwnOperatorListed(reader, operators, operator);
        reader.throwIfFaulty();
        return new FleetFile(
                fleetName,
                operator,
                operators.isEmpty() ? List.of(operator) : operators,
                site,
                name,
                listen,
                advertised,
                seedAddresses,
                founders,
                Path.of(storeFolder),
                pathOrNull(logFile),
                timing,
                placement.equals("map"),
                (int) shardCount,
                partnerAddress.isEmpty() ? null : partnerAddress,
                pathOrNull(termsFile),
                maxAloneMs);
    }

    private static Path pathOrNull(String text) {
        return text.isEmpty() ? null : Path.of(text);
    }

    /** Adds a fault if the key serves or terms is given without the key shards. */
    private static void checkShardsGiven(YamlFileReader reader, long shardCount, String servesAndTerms) {
        if (shardCount == 0 && !servesAndTerms.isEmpty()) {
            reader.addFault(null, "shards: is missing, expected the number of shards, which serves and terms require");
        }
    }

    /** Reads the fleet's intervals; a lease that is shorter than five probe periods is a fault. */
    private static FleetTiming readTiming(YamlFileReader reader) {
        Node lease = reader.node("lease_ms");
        long periodMs = reader.wholeNumber("probe_period_ms", 1_000, 50, 60_000);
        long leaseMs = reader.wholeNumber("lease_ms", 10_000, 500, 600_000);
        long retentionS = reader.wholeNumber("forget_s", 3_600, 60, 604_800);
        long minLeaseMs = MIN_PERIODS_PER_LEASE * periodMs;
        if (leaseMs < minLeaseMs) {
            reader.addFault(
                    lease,
                    "lease_ms: " + leaseMs + ", expected at least five times probe_period_ms, which is " + minLeaseMs);
        }
        return new FleetTiming(periodMs * 1_000, leaseMs * 1_000, retentionS * 1_000_000);
    }

    private static void checkOwnOperatorListed(YamlFileReader reader, List<String> operators, String operator) {
        if (!operators.isEmpty() && operator != null && !operators.contains(operator)) {
            reader.addFault(null, "operators: does not include this member's own operator '" + operator + "'");
        }
    }

    private static boolean isPath(String text) {
        return !text.isBlank();
    }

    private static boolean isPlacement(String text) {
        return text.equals("map") || text.equals("plain");
    }

    private static boolean isAddress(String text) {
        try {
            new Member("x", 1, 1, "x", "x", 0, text); // throws if the address is malformed
            int port = Integer.parseInt(text.substring(text.lastIndexOf(':') + 1));
            return port > 0 && port <= MAX_PORT;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }
}
