package hopdrum.fleet.config;

import java.io.IOException;
import java.io.StringReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
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

/**
 * Reads the keys of a flat YAML file one after another and collects all faults with their lines, so that a file's faults
 * are reported together. A key that is faulty reads as its default. Not thread-safe.
 */
final class YamlFileReader {
    private static final int FIRST_LINE = 1;

    /** @param line 0 where the file as a whole is at fault */
    private record Fault(int line, String text) {}

    private final Path file;
    private final Map<String, Node> unread = new HashMap<>(); // by key
    private final List<Fault> faults = new ArrayList<>();
    private boolean isReadable = true; // if false, missing keys are not reported as faults

    private YamlFileReader(Path file) {
        this.file = file;
    }

    /** Opens a file; one that cannot be read, or is no YAML, is a fault and has no keys. */
    static YamlFileReader open(Path file) {
        YamlFileReader reader = new YamlFileReader(file);
        reader.parse();
        return reader;
    }

    private void parse() {
        try {
            Node root = new Yaml(new SafeConstructor(new LoaderOptions()))
                    .compose(new StringReader(Files.readString(file)));
            if (!(root instanceof MappingNode mapping)) {
                addFault(root, "the file holds no keys, expected 'fleet: NAME' and more");
                return;
            }
            for (NodeTuple pair : mapping.getValue()) {
                String key = pair.getKeyNode() instanceof ScalarNode scalar ? scalar.getValue() : "?";
                if (unread.put(key, pair.getValueNode()) != null) {
                    addFault(pair.getKeyNode(), key + ": is there twice, expected once");
                }
            }
        } catch (MarkedYAMLException e) {
            isReadable = false;
            int line =
                    e.getProblemMark() == null ? FIRST_LINE : e.getProblemMark().getLine() + 1;
            faults.add(new Fault(line, file + ":" + line + ": no YAML: " + e.getProblem()));
        } catch (IOException e) {
            isReadable = false;
            faults.add(new Fault(0, file + ": cannot be read: " + e.getMessage()));
        }
    }

    /** Adds a fault at a node, or at the first line where the node is null. */
    void addFault(Node at, String text) {
        int line = at == null ? FIRST_LINE : at.getStartMark().getLine() + 1;
        faults.add(new Fault(line, file + ":" + line + ": " + text));
    }

    /** A key's node, for the place of a later fault; null where the key is not there or was read. */
    Node node(String key) {
        return unread.get(key);
    }

    boolean has(String key) {
        return unread.containsKey(key);
    }

    /**
     * Reads a text.
     *
     * @param defaultValue returned where the key is not there or faulty; null where the key is required
     * @param isValid what the text has to be
     * @param expected a description of valid values, for fault messages
     */
    String text(String key, String defaultValue, Predicate<String> isValid, String expected) {
        Node node = unread.remove(key);
        if (node == null) {
            if (defaultValue == null) {
                addMissing(key, expected);
            }
            return defaultValue;
        }
        if (!(node instanceof ScalarNode scalar) || !isValid.test(scalar.getValue())) {
            addUnexpected(node, key, "a list or a mapping", expected);
            return defaultValue;
        }
        return scalar.getValue();
    }

    /**
     * Reads a list of texts; empty where it is not there or faulty.
     *
     * @param isRequired whether a missing list is a fault
     * @param isValid what each text has to be
     * @param expected a description of valid values, for fault messages
     */
    List<String> list(String key, boolean isRequired, Predicate<String> isValid, String expected) {
        Node node = unread.remove(key);
        List<String> all = new ArrayList<>();
        if (node == null) {
            if (isRequired) {
                addMissing(key, "a list, each " + expected);
            }
            return all;
        }
        if (!(node instanceof SequenceNode sequence)) {
            addFault(node, key + ": is no list, expected a list, each " + expected);
            return all;
        }
        for (Node item : sequence.getValue()) {
            if (item instanceof ScalarNode scalar && isValid.test(scalar.getValue())) {
                if (all.contains(scalar.getValue())) {
                    addFault(item, key + ": '" + scalar.getValue() + "' is there twice, expected once");
                }
                all.add(scalar.getValue());
            } else {
                addUnexpected(item, key, "no plain value", expected);
            }
        }
        return all;
    }

    /** Reads a whole number from min to max; the default where the key is not there or faulty. */
    long wholeNumber(String key, long defaultValue, long min, long max) {
        return Long.parseLong(text(
                key,
                Long.toString(defaultValue),
                text -> isWholeNumber(text, min, max),
                "a whole number from " + min + " to " + max));
    }

    /** Reads true or false; false where the key is not there or faulty. */
    boolean flag(String key) {
        return text(key, "false", text -> text.equals("true") || text.equals("false"), "true or false")
                .equals("true");
    }

    private void addMissing(String key, String expected) {
        if (isReadable) {
            addFault(null, key + ": is missing, expected " + expected);
        }
    }

    private void addUnexpected(Node found, String key, String unlessScalar, String expected) {
        String value = found instanceof ScalarNode scalar ? "'" + scalar.getValue() + "'" : unlessScalar;
        addFault(found, key + ": " + value + ", expected " + expected);
    }

    /** Throws all faults in the file's order, keys that were never read among them; returns if there are none. */
    void throwIfFaulty() throws InvalidFileException {
        unread.forEach((key, node) -> addFault(node, key + ": is not known here"));
        if (!faults.isEmpty()) {
            faults.sort(Comparator.comparingInt(Fault::line));
            throw new InvalidFileException(
                    file, faults.stream().map(Fault::text).toList());
        }
    }

    private static boolean isWholeNumber(String text, long min, long max) {
        try {
            long value = Long.parseLong(text);
            return value >= min && value <= max;
        } catch (NumberFormatException e) {
            return false;
        }
    }
}
