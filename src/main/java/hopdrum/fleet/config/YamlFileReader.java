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
 * Reads the keys of a flat YAML file, and collects all faults with their lines, so that they are reported together. A
 * key with a fault is read as its default value. Not thread-safe.
 */
final class YamlFileReader {
    private static final int FIRST_LINE = 1;

    /**
     * A fault of the file.
     *
     * @param line the line number, from 1; 0 if the fault concerns the whole file
     * @param text the message, which begins with the file and the line
     */
    private record Fault(int line, String text) {}

    private final Path file;
    private final Map<String, Node> unreadNodes = new HashMap<>(); // by key
    private final List<Fault> faults = new ArrayList<>();
    private boolean isParsed = true; // if false, missing keys are not reported as faults

    private YamlFileReader(Path file) {
        this.file = file;
    }

    /** Opens a file. If the file cannot be read or is not valid YAML, a fault is added and the file has no keys. */
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
                addFault(root, "the file has no keys, expected lines such as 'KEY: VALUE'");
                return;
            }
            for (NodeTuple pair : mapping.getValue()) {
                String key = pair.getKeyNode() instanceof ScalarNode scalar ? scalar.getValue() : "?";
                if (unreadNodes.put(key, pair.getValueNode()) != null) {
                    addFault(pair.getKeyNode(), key + ": occurs twice, expected once");
                }
            }
        } catch (MarkedYAMLException e) {
            isParsed = false;
            int line =
                    e.getProblemMark() == null ? FIRST_LINE : e.getProblemMark().getLine() + 1;
            faults.add(new Fault(line, file + ":" + line + ": invalid YAML: " + e.getProblem()));
        } catch (IOException e) {
            isParsed = false;
            faults.add(new Fault(0, file + ": cannot be read: " + e.getMessage()));
        }
    }

    /** Adds a fault at the line of a node, or at the first line if the node is null. */
    void addFault(Node at, String text) {
        int line = at == null ? FIRST_LINE : at.getStartMark().getLine() + 1;
        faults.add(new Fault(line, file + ":" + line + ": " + text));
    }

    /** Returns a key's node, the place of a later fault; null if the key is missing or has already been read. */
    Node node(String key) {
        return unreadNodes.get(key);
    }

    boolean has(String key) {
        return unreadNodes.containsKey(key);
    }

    /**
     * Reads a string. The key is then regarded as read.
     *
     * @param defaultValue the value if the key is missing or invalid; null if the key is required
     * @param isValid accepts valid values
     * @param expected a description of valid values, for fault messages
     */
    String text(String key, String defaultValue, Predicate<String> isValid, String expected) {
        Node node = unreadNodes.remove(key);
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
     * Reads a list of strings, without invalid entries; the list is empty if the key is missing or not a list.
     *
     * @param isRequired whether a missing key is a fault
     * @param isValid accepts valid entries
     * @param expected a description of valid entries, for fault messages
     */
    List<String> list(String key, boolean isRequired, Predicate<String> isValid, String expected) {
        Node node = unreadNodes.remove(key);
        List<String> values = new ArrayList<>();
        if (node == null) {
            if (isRequired) {
                addMissing(key, "a list, each entry " + expected);
            }
            return values;
        }
        if (!(node instanceof SequenceNode sequence)) {
            addFault(node, key + ": is not a list, expected a list, each entry " + expected);
            return values;
        }
        for (Node item : sequence.getValue()) {
            if (item instanceof ScalarNode scalar && isValid.test(scalar.getValue())) {
                if (values.contains(scalar.getValue())) {
                    addFault(item, key + ": '" + scalar.getValue() + "' occurs twice, expected once");
                }
                values.add(scalar.getValue());
            } else {
                addUnexpected(item, key, "a nested list or mapping", expected);
            }
        }
        return values;
    }

    /** Reads a whole number from min to max; returns the default if the key is missing or invalid. */
    long wholeNumber(String key, long defaultValue, long min, long max) {
        return Long.parseLong(text(
                key,
                Long.toString(defaultValue),
                text -> isWholeNumber(text, min, max),
                "a whole number from " + min + " to " + max));
    }

    /** Reads true or false; returns false if the key is missing or invalid. */
    boolean flag(String key) {
        return text(key, "false", text -> text.equals("true") || text.equals("false"), "true or false")
                .equals("true");
    }

    private void addMissing(String key, String expected) {
        if (isParsed) {
            addFault(null, key + ": is missing, expected " + expected);
        }
    }

    private void addUnexpected(Node found, String key, String descriptionUnlessScalar, String expected) {
        String value = found instanceof ScalarNode scalar ? "'" + scalar.getValue() + "'" : descriptionUnlessScalar;
        addFault(found, key + ": " + value + ", expected " + expected);
    }

    /** Adds a fault for each key that has not been read, and throws all faults, by line, if there are any. */
    void throwIfFaulty() throws InvalidFileException {
        unreadNodes.forEach((key, node) -> addFault(node, key + ": is not a known key"));
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
