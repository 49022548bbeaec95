package hopdrum.fleet.config;

import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.ShardAssignment;
import hopdrum.fleet.view.FleetTiming;
import java.nio.file.Path;
import java.util.List;
import org.yaml.snakeyaml.nodes.Node;

/**
 * The file that serve --fleet names. docs/fleet.md has its keys.
 *
 * @param fleetName the fleet's name
 * @param operator the operator of this front door
 * @param operators all operators whose front doors may join
 * @param site the site of this front door
 * @param name this front door's name in the fleet
 * @param listenAddress the numeric address and port to listen on for peers
 * @param advertisedAddress the address at which peers reach it
 * @param seedAddresses addresses to find the fleet by
 * @param founders names of the members that all have to be up before a new fleet is founded
 * @param storeFolder the folder of this member's durable state
 * @param logFile the file that decisions are logged to; null for standard error
 * @param timing the fleet's times
 * @param usesLatencyMap whether RPCs are placed by the latency map
 * @param shardCount the number of shards; 0 where customers are not shared with partners
 * @param partnerAddress the address where partners' RPCs are taken; null where none are
 * @param termsFile the operator's terms file; null for none
 * @param maxAloneMs the longest that an agreement may let an operator act alone, milliseconds
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
    private static final String NAME = "a name: letters, digits, dot, dash, underscore, 64 at most";
    private static final String ADDRESS = "a numeric address and a port, as 127.0.0.1:7401";
    private static final int MIN_PERIODS_PER_LEASE = 5;
    private static final int MAX_PORT = 65_535;

    /**
     * Reads a fleet file; all its faults are found before any is reported.
     *
     * @param file the file that serve --fleet names
     * @return the fleet file's settings, defaults filled in
     * @throws InvalidFileException with all faults, each with file, line, key, what was found and what was expected
     */
    public static FleetFile read(Path file) throws InvalidFileException {
        return read(YamlFileReader.open(file));
    }

    private static FleetFile read(YamlFileReader reader) throws InvalidFileException {
        String fleet = reader.text("fleet", null, Member::isName, NAME);
        String operator = reader.text("operator", null, Member::isName, NAME);
        List<String> operators = reader.list("operators", false, Member::isName, NAME);
        String site = reader.text("site", null, Member::isName, NAME);
        String name = reader.text("name", null, Member::isName, NAME);
        String listen = reader.text("listen", null, FleetFile::isAddress, ADDRESS);
        String advertise = reader.text("advertise", listen == null ? "" : listen, FleetFile::isAddress, ADDRESS);
        List<String> seeds = reader.list("seeds", true, FleetFile::isAddress, ADDRESS);
        List<String> founders = reader.list("founders", true, Member::isName, NAME);
        String store = reader.text("store", null, FleetFile::isPath, "a folder");
        String log = reader.text("log", "", FleetFile::isPath, "a file");
        String placement = reader.text("placement", "map", FleetFile::isPlacement, "map or plain");
        long shards = reader.wholeNumber("shards", 0, 0, ShardAssignment.MAX_SHARDS);
        String serves = reader.text("serves", "", FleetFile::isAddress, ADDRESS);
        String terms = reader.text("terms", "", FleetFile::isPath, "a file");
        long maxAloneMs = reader.wholeNumber("most_alone_ms", 30_000, 0, 240_000);
        checkShardsNamed(reader, shards, serves + terms);
        FleetTiming timing = readTiming(reader);
        checkOwnOperatorListed(reader, operators, operator);
        reader.throwIfFaulty();
        return new FleetFile(
                fleet,
                operator,
                operators.isEmpty() ? List.of(operator) : operators,
                site,
                name,
                listen,
                advertise,
                seeds,
                founders,
                Path.of(store),
                pathOrNull(log),
                timing,
                placement.equals("map"),
                (int) shards,
                serves.isEmpty() ? null : serves,
                pathOrNull(terms),
                maxAloneMs);
    }

    private static Path pathOrNull(String text) {
        return text.isEmpty() ? null : Path.of(text);
    }

    /** The keys serves and terms mean nothing without shards. */
    private static void checkShardsNamed(YamlFileReader reader, long shards, String servesAndTerms) {
        if (shards == 0 && !servesAndTerms.isEmpty()) {
            reader.addFault(null, "shards: is missing, expected how many there are, as serves or terms is there");
        }
    }

    /** The probe period, lease and forget times; a lease of fewer than five periods is a fault. */
    private static FleetTiming readTiming(YamlFileReader reader) {
        Node lease = reader.node("lease_ms");
        long periodMs = reader.wholeNumber("probe_period_ms", 1_000, 50, 60_000);
        long leaseMs = reader.wholeNumber("lease_ms", 10_000, 500, 600_000);
        long forgetS = reader.wholeNumber("forget_s", 3_600, 60, 604_800);
        long minLeaseMs = MIN_PERIODS_PER_LEASE * periodMs;
        if (leaseMs < minLeaseMs) {
            reader.addFault(
                    lease, "lease_ms: " + leaseMs + ", expected five times probe_period_ms at least, so " + minLeaseMs);
        }
        return new FleetTiming(periodMs * 1_000, leaseMs * 1_000, forgetS * 1_000_000);
    }

    private static void checkOwnOperatorListed(YamlFileReader reader, List<String> operators, String operator) {
        if (!operators.isEmpty() && operator != null && !operators.contains(operator)) {
            reader.addFault(null, "operators: lacks this member's own operator '" + operator + "'");
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
            new Member("x", 1, 1, "x", "x", 0, text); // checks the address's form
            int port = Integer.parseInt(text.substring(text.lastIndexOf(':') + 1));
            return port > 0 && port <= MAX_PORT;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }
}
