package hopdrum.fleet;

import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.ShardAssignment;
import hopdrum.fleet.view.FleetTiming;
import java.io.IOException;
import java.io.StringReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.constructor.SafeConstructor;
import org.yaml.snakeyaml.error.MarkedYAMLException;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.NodeTuple;
import org.yaml.snakeyaml.nodes.ScalarNode;
import org.yaml.snakeyaml.nodes.SequenceNode;

/** The file that serve --fleet names, read whole: all its faults are found before one is said. docs/fleet.md has its keys. */
public record FleetFile(
        String fleet,
        String operator,
        List<String> operators,
        String site,
        String name,
        String listen,
        String advertise,
        List<String> seeds,
        List<String> founders,
        Path store,
        Path log,
        FleetTiming timing,
        boolean places,
        int shards,
        String serves,
        Path terms,
        long mostAloneMs) {
    private static final String NAME = "a name: letters, digits, dot, dash, underscore, 64 at most";
    private static final String ADDRESS = "a numeric address and a port, as 127.0.0.1:7401";

    /**
     * A fleet or terms file that cannot be used. The message has all its faults, a line each, in the file's order:
     * {@code FILE:LINE: KEY: what was found, expected what}.
     */
    public static final class InvalidFileException extends Exception {
        private static final long serialVersionUID = 1;

        private final String file;
        private final List<String> faults;

        InvalidFileException(Path file, List<String> faults) {
            super(String.join("\n", faults));
            this.file = String.valueOf(file);
            this.faults = List.copyOf(faults);
        }

        /**
         * Returns the file that was read.
         *
         * @return its path as it was given
         */
        public String file() {
            return file;
        }

        /**
         * Returns each fault, as the message has it.
         *
         * @return one entry a fault: file, line, key, what was found and what was expected
         */
        public List<String> faults() {
            return faults;
        }
    }

    static final class Reader {
        private final Path file;
        final Map<String, Node> values = new HashMap<>();
        final List<String> faults = new ArrayList<>();

        Reader(Path file) {
            this.file = file;
        }

        void fault(Node at, String what) {
            faults.add(file + ":" + (at == null ? 1 : at.getStartMark().getLine() + 1) + ": " + what);
        }

        void open() {
            try {
                Node root = new Yaml(new SafeConstructor(new LoaderOptions()))
                        .compose(new StringReader(Files.readString(file)));
                if (!(root instanceof MappingNode mapping)) {
                    fault(root, "the file holds no keys, expected 'fleet: NAME' and more");
                    return;
                }
                for (NodeTuple pair : mapping.getValue()) {
                    String key = pair.getKeyNode() instanceof ScalarNode scalar ? scalar.getValue() : "?";
                    if (values.put(key, pair.getValueNode()) != null) {
                        fault(pair.getKeyNode(), key + ": is there twice, expected once");
                    }
                }
            } catch (MarkedYAMLException e) {
                faults.add(file + ":"
                        + (e.getProblemMark() == null ? 1 : e.getProblemMark().getLine() + 1) + ": no YAML: "
                        + e.getProblem());
            } catch (IOException e) {
                faults.add(file + ": cannot be read: " + e.getMessage());
            }
        }

        String text(String key, String absent, Predicate<String> holds, String expected) {
            Node node = values.remove(key);
            if (node == null) {
                if (absent == null
                        && faults.stream().noneMatch(f -> f.contains("no YAML") || f.contains("cannot be read"))) {
                    fault(null, key + ": is missing, expected " + expected);
                }
                return absent;
            }
            if (!(node instanceof ScalarNode scalar) || !holds.test(scalar.getValue())) {
                fault(
                        node,
                        key + ": " + (node instanceof ScalarNode s ? "'" + s.getValue() + "'" : "a list or a mapping")
                                + ", expected " + expected);
                return absent;
            }
            return scalar.getValue();
        }

        List<String> list(String key, boolean needed, Predicate<String> holds, String expected) {
            Node node = values.remove(key);
            List<String> all = new ArrayList<>();
            if (node == null) {
                if (needed && faults.stream().noneMatch(f -> f.contains("no YAML") || f.contains("cannot be read"))) {
                    fault(null, key + ": is missing, expected a list, each " + expected);
                }
                return all;
            }
            if (!(node instanceof SequenceNode sequence)) {
                fault(node, key + ": is no list, expected a list, each " + expected);
                return all;
            }
            for (Node item : sequence.getValue()) {
                if (item instanceof ScalarNode scalar && holds.test(scalar.getValue())) {
                    if (all.contains(scalar.getValue())) {
                        fault(item, key + ": '" + scalar.getValue() + "' is there twice, expected once");
                    }
                    all.add(scalar.getValue());
                } else {
                    fault(
                            item,
                            key + ": " + (item instanceof ScalarNode s ? "'" + s.getValue() + "'" : "no plain value")
                                    + ", expected " + expected);
                }
            }
            return all;
        }

        long whole(String key, long absent, long least, long most) {
            String text = text(
                    key,
                    Long.toString(absent),
                    t -> isWhole(t, least, most),
                    "a whole number from " + least + " to " + most);
            return Long.parseLong(text);
        }

        /** Throws all that was found, in the file's order; keys that nobody asked for among them. */
        void end() throws InvalidFileException {
            values.forEach((key, node) -> fault(node, key + ": is not known here"));
            if (!faults.isEmpty()) {
                faults.sort(java.util.Comparator.comparingInt(FleetFile::lineOf));
                throw new InvalidFileException(file, faults);
            }
        }

        private static boolean isWhole(String text, long least, long most) {
            try {
                long value = Long.parseLong(text);
                return value >= least && value <= most;
            } catch (NumberFormatException e) {
                return false;
            }
        }
    }

    /**
     * Reads a fleet file whole; all its faults are found before one is said.
     *
     * @param file the file that serve --fleet names
     * @return the fleet file's settings, defaults filled in
     * @throws InvalidFileException with all faults, each with file, line, key, what was found and what was expected
     */
    public static FleetFile read(Path file) throws InvalidFileException {
        Reader r = new Reader(file);
        r.open();
        String fleet = r.text("fleet", null, Member::isName, NAME);
        String operator = r.text("operator", null, Member::isName, NAME);
        List<String> operators = r.list("operators", false, Member::isName, NAME);
        String site = r.text("site", null, Member::isName, NAME);
        String name = r.text("name", null, Member::isName, NAME);
        String listen = r.text("listen", null, FleetFile::isAddress, ADDRESS);
        String advertise = r.text("advertise", listen == null ? "" : listen, FleetFile::isAddress, ADDRESS);
        List<String> seeds = r.list("seeds", true, FleetFile::isAddress, ADDRESS);
        List<String> founders = r.list("founders", true, Member::isName, NAME);
        String store = r.text("store", null, t -> !t.isBlank(), "a folder");
        String log = r.text("log", "", t -> !t.isBlank(), "a file");
        String placement = r.text("placement", "map", t -> t.equals("map") || t.equals("plain"), "map or plain");
        long shards = r.whole("shards", 0, 0, ShardAssignment.MOST_SHARDS);
        String serves = r.text("serves", "", FleetFile::isAddress, ADDRESS);
        String terms = r.text("terms", "", t -> !t.isBlank(), "a file");
        long aloneMs = r.whole("most_alone_ms", 30_000, 0, 240_000);
        checkShardsNamed(r, shards, serves + terms);
        FleetTiming timing = readTiming(r);
        checkOwnOperatorListed(r, operators, operator);
        r.end();
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
                log.isEmpty() ? null : Path.of(log),
                timing,
                placement.equals("map"),
                (int) shards,
                serves.isEmpty() ? null : serves,
                terms.isEmpty() ? null : Path.of(terms),
                aloneMs);
    }

    /** Serves and terms need shards to be named. */
    private static void checkShardsNamed(Reader r, long shards, String servesAndTerms) {
        if (shards == 0 && !servesAndTerms.isEmpty()) {
            r.fault(null, "shards: is missing, expected how many there are, as serves or terms is there");
        }
    }

    /** The probe period, lease and forget times; a lease of fewer than five periods is a fault. */
    private static FleetTiming readTiming(Reader r) {
        Node lease = r.values.get("lease_ms");
        long periodMs = r.whole("probe_period_ms", 1_000, 50, 60_000);
        long leaseMs = r.whole("lease_ms", 10_000, 500, 600_000);
        long forgetS = r.whole("forget_s", 3_600, 60, 604_800);
        if (leaseMs < 5 * periodMs) {
            r.fault(
                    lease,
                    "lease_ms: " + leaseMs + ", expected five times probe_period_ms at least, so " + 5 * periodMs);
        }
        return new FleetTiming(periodMs * 1_000, leaseMs * 1_000, forgetS * 1_000_000);
    }

    private static void checkOwnOperatorListed(Reader r, List<String> operators, String operator) {
        if (!operators.isEmpty() && operator != null && !operators.contains(operator)) {
            r.fault(null, "operators: lacks this member's own operator '" + operator + "'");
        }
    }

    private static int lineOf(String fault) {
        String[] parts = fault.split(":");
        for (String part : parts) {
            if (part.matches("\\d+")) {
                return Integer.parseInt(part);
            }
        }
        return 0;
    }

    private static boolean isAddress(String text) {
        try {
            new Member("x", 1, 1, "x", "x", 0, text);
            int port = Integer.parseInt(text.substring(text.lastIndexOf(':') + 1));
            return port > 0 && port < 65_536;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }
}
