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
 * What a front door is configured with at its start.
 *
 * @param name the front door's name
 * @param listen where clients connect
 * @param discovery where the endpoint list is watched
 * @param counter the shared counter's address; null without one
 * @param peerListen where gossip comes in; null without peers
 * @param peers the gossip addresses of all front doors, in the order of their ordinals
 * @param seed the seed of the policy's random numbers
 * @param memoryMb the memory that the process may take, in MiB
 * @param maxDescriptors how many descriptors the process may open
 * @param cachedEndpointList the endpoint list as it was last known, in the form of discovery's; null without one
 * @param settings what the policy decides by
 * @param methods the methods' names, in the order of the settings
 * @param plans the plans' names, in the order of the settings
 * @param zones the zones' names, in the order of the settings
 * @param kinds the names of the kinds of backends, in the order of the settings
 * @param connectTimeoutUs how long a connection to a backend may take to come up, in microseconds
 * @param idleTimeoutUs after how long backends close idle connections, in microseconds; 0 for never
 * @param maxUnits the most units that an RPC may draw; 0 if the settings name no bound
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
     * @throws IllegalArgumentException with one plain sentence if the file cannot be used; an {@link
     *     InvalidConfigException} unless it is no JSON or the settings are at fault
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
     * Reads a configuration from its text.
     *
     * @throws IllegalArgumentException as {@link #read}
     */
    public static Config parse(String text) {
        if (!(JsonReader.parse(text) instanceof Map<?, ?> root)) {
            throw new InvalidConfigException("the configuration is no object");
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
                seed(root.get("seed")),
                intOrDefault(limits.get("memory_mb"), DEFAULT_MEMORY_MB),
                intOrDefault(limits.get("sockets"), DEFAULT_SOCKETS),
                root.get("known") instanceof Map<?, ?> list ? list : null,
                settings,
                names(flat, "Lanes."),
                names(flat, "Packages."),
                commaSeparated(flat, "Azs"),
                commaSeparated(flat, "Flavors"),
                Math.max(MIN_CONNECT_TIMEOUT_US, longOrZero(flat, "Bounds.DialTimeoutUs")),
                longOrZero(flat, "Bounds.ConnIdleUs"),
                Double.parseDouble(flat.getOrDefault("FamilyInfo.Largest", "0")));
    }

    /** Nested JSON to the paths of the bench's protocol: a list of objects has its length under .count. */
    private static void flatten(String path, Object value, Map<String, String> flat) {
        if (value instanceof Map<?, ?> map) {
            map.forEach((k, v) -> flatten(path.isEmpty() ? k.toString() : path + "." + k, v, flat));
        } else if (value instanceof List<?> list && list.stream().anyMatch(v -> v instanceof Map)) {
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

    /** The names of a list's entries. */
    private static List<String> names(Map<String, String> flat, String listPrefix) {
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

    private static int intOrDefault(Object value, int absent) {
        return value instanceof Double number ? (int) Math.min(Integer.MAX_VALUE, number) : absent;
    }

    private static long seed(Object value) {
        try {
            return value instanceof Double number
                    ? number.longValue()
                    : Long.parseUnsignedLong(String.valueOf(value), 16);
        } catch (NumberFormatException e) {
            throw new InvalidConfigException("the configuration's seed is no hexadecimal number", e);
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
     * A numeric address and a port, as in 127.0.0.1:80 or [::1]:80; there is no DNS.
     *
     * @param key what the address is of, for the message
     * @throws InvalidConfigException if the value is no such text
     */
    public static InetSocketAddress parseAddress(String key, Object value) {
        String text = String.valueOf(value);
        int colon = text.lastIndexOf(':');
        try {
            String host = text.substring(0, Math.max(0, colon));
            if (host.isEmpty() || !host.matches("[0-9.]+|\\[[0-9a-fA-F:.]+\\]")) {
                throw new IllegalArgumentException("no numeric address");
            }
            return new InetSocketAddress(host, Integer.parseInt(text.substring(colon + 1)));
        } catch (IllegalArgumentException e) {
            throw new InvalidConfigException("the configuration's " + key + " is no address: " + text, e);
        }
    }
}
