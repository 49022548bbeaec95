package hopdrum.frontdoor.lifecycle;

import hopdrum.frontdoor.wire.JsonReader;
import hopdrum.host.Settings;
import hopdrum.host.SettingsReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The configuration of a front door.
 *
 * @param name the name of the front door
 * @param listen the address on which clients are accepted
 * @param discovery the address of discovery, where the endpoint list is watched
 * @param counter the address of the shared counter; null without a counter
 * @param peerListen the address on which gossip is received; null without peers
 * @param peers the gossip addresses of all front doors, in the order of their ordinals; empty without peers
 * @param seed the seed of the policy's random number generator
 * @param memoryMb the memory that the process may use, in MiB
 * @param maxDescriptors the number of file descriptors that the process may have open
 * @param cachedEndpointList the last known endpoint list, in the format that discovery uses; null without one
 * @param settings the settings of the policy
 * @param methods the names of the methods, in the order of the settings
 * @param plans the names of the plans, in the order of the settings
 * @param zones the names of the zones, in the order of the settings
 * @param kinds the names of the kinds of backends, in the order of the settings
 * @param connectTimeoutUs how long connecting to a backend may take, in microseconds
 * @param idleTimeoutUs the time after which backends close idle connections, in microseconds; 0 for never
 * @param maxUnits the most units that one request may draw; 0 if the settings give no limit
 */
public record Config(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        InetSocketAddress counter,
        InetSocketAddress peerListen,
        List<InetSocketAddress> peers,
        long seed,
        int memoryMb,
        int maxDescriptors,
        Map<?, ?> cachedEndpointList,
        Settings settings,
        List<String> methods,
        List<String> plans,
        List<String> zones,
        List<String> kinds,
        long connectTimeoutUs,
        long idleTimeoutUs,
        double maxUnits) {

    private static final int DEFAULT_MEMORY_MB = 192;
    private static final int DEFAULT_SOCKETS = 1024;
    private static final long MIN_CONNECT_TIMEOUT_US = 1000;

    /**
     * Reads the configuration file.
     *
     * @param file a JSON file
     * @throws IllegalArgumentException if the file cannot be used; the message is one line. An {@link
     *     InvalidConfigException} unless the text is not valid JSON or the settings are invalid.
     */
    public static Config read(Path file) {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new InvalidConfigException("the configuration cannot be read: " + e, e);
        }
        return parse(text);
    }

    /**
     * Parses a configuration.
     *
     * @param text the content of a configuration file
     * @throws IllegalArgumentException as {@link #read}
     */
    public static Config parse(String text) {
        if (!(JsonReader.parse(text) instanceof Map<?, ?> root)) {
            throw new InvalidConfigException("the configuration is not a JSON object");
        }
        Map<String, String> flat = new LinkedHashMap<>();
        flatten("", root.get("settings"), flat);
        Settings settings = SettingsReader.read(flat);
        List<InetSocketAddress> peers = new ArrayList<>();
        if (root.get("peers") instanceof List<?> list) {
            for (Object peer : list) {
                peers.add(parseAddress("peers", peer));
            }
        }
        Map<?, ?> limits = root.get("limits") instanceof Map<?, ?> map ? map : Map.of();
        return new Config(
                String.valueOf(root.get("name")),
                requiredAddress(root, "listen"),
                requiredAddress(root, "discovery"),
                optionalAddress(root, "counter"),
                optionalAddress(root, "peer_listen"),
                peers,
                parseSeed(root.get("seed")),
                intOrDefault(limits.get("memory_mb"), DEFAULT_MEMORY_MB),
                intOrDefault(limits.get("sockets"), DEFAULT_SOCKETS),
                root.get("known") instanceof Map<?, ?> list ? list : null,
                settings,
                entryNames(flat, "Lanes."),
                entryNames(flat, "Packages."),
                commaSeparated(flat, "Azs"),
                commaSeparated(flat, "Flavors"),
                Math.max(MIN_CONNECT_TIMEOUT_US, longOrZero(flat, "Bounds.DialTimeoutUs")),
                longOrZero(flat, "Bounds.ConnIdleUs"),
                Double.parseDouble(flat.getOrDefault("FamilyInfo.Largest", "0")));
    }

    /**
     * Flattens nested JSON into the dotted keys of the bench's protocol, which {@link SettingsReader} reads. The length
     * of a list of objects is stored under the list's key with {@code .count} appended; a list of plain values becomes
     * one comma-separated value.
     */
    private static void flatten(String path, Object value, Map<String, String> flat) {
        if (value instanceof Map<?, ?> map) {
            map.forEach((key, nested) -> flatten(path.isEmpty() ? key.toString() : path + "." + key, nested, flat));
        } else if (value instanceof List<?> list && list.stream().anyMatch(entry -> entry instanceof Map)) {
            flat.put(path + ".count", Integer.toString(list.size()));
            for (int i = 0; i < list.size(); i++) {
                flatten(path + "." + i, list.get(i), flat);
            }
        } else if (value instanceof List<?> list) {
            flat.put(path, String.join(",", list.stream().map(String::valueOf).toList()));
        } else if (value != null) {
            flat.put(path, value.toString());
        }
    }

    /** The value of {@code Name} in each entry of a flattened list, in the order of the list. */
    private static List<String> entryNames(Map<String, String> flat, String listPrefix) {
        List<String> names = new ArrayList<>();
        for (int i = 0; flat.containsKey(listPrefix + i + ".Name"); i++) {
            names.add(flat.get(listPrefix + i + ".Name"));
        }
        return names;
    }

    private static List<String> commaSeparated(Map<String, String> flat, String key) {
        String value = flat.getOrDefault(key, "");
        return value.isEmpty() ? List.of() : List.of(value.split(",", 0));
    }

    private static long longOrZero(Map<String, String> flat, String key) {
        return (long) Double.parseDouble(flat.getOrDefault(key, "0"));
    }

    private static int intOrDefault(Object value, int defaultValue) {
        return value instanceof Double number ? (int) Math.min(Integer.MAX_VALUE, number) : defaultValue;
    }

    private static long parseSeed(Object value) {
        try {
            return value instanceof Double number
                    ? number.longValue()
                    : Long.parseUnsignedLong(String.valueOf(value), 16);
        } catch (NumberFormatException e) {
            throw new InvalidConfigException("the configuration's seed is not a hexadecimal number", e);
        }
    }

    private static InetSocketAddress requiredAddress(Map<?, ?> root, String key) {
        if (root.get(key) == null) {
            throw new InvalidConfigException("the configuration lacks " + key);
        }
        return parseAddress(key, root.get(key));
    }

    private static InetSocketAddress optionalAddress(Map<?, ?> root, String key) {
        return root.get(key) == null ? null : parseAddress(key, root.get(key));
    }

    /**
     * Parses a numeric address and a port, as in 127.0.0.1:80 or [::1]:80. Host names are not resolved.
     *
     * @param key the key that the value belongs to, for the error message
     * @param value the text to parse
     * @throws InvalidConfigException if the value is not a numeric address with a port
     */
    public static InetSocketAddress parseAddress(String key, Object value) {
        String text = String.valueOf(value);
        int colon = text.lastIndexOf(':');
        try {
            String host = text.substring(0, Math.max(0, colon));
            if (host.isEmpty() || !host.matches("[0-9.]+|\\[[0-9a-fA-F:.]+\\]")) {
                throw new IllegalArgumentException("not a numeric address");
            }
            return new InetSocketAddress(host, Integer.parseInt(text.substring(colon + 1)));
        } catch (IllegalArgumentException e) {
            throw new InvalidConfigException("the configuration's " + key + " is no address: " + text, e);
        }
    }
}
