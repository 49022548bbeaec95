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

/** What a front door is told at its start. */
public record Config(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        InetSocketAddress counter,
        InetSocketAddress peerListen,
        List<InetSocketAddress> peers,
        long seed,
        int memoryMb,
        int sockets,
        Map<?, ?> known,
        Settings settings,
        List<String> methods,
        List<String> plans,
        List<String> zones,
        List<String> kinds,
        long dialTimeOutUs,
        long idleUs,
        double mostUnits) {

    /** Throws IllegalArgumentException with one plain sentence where the file cannot be used. */
    public static Config read(Path file) {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new IllegalArgumentException("the configuration cannot be read: " + e, e);
        }
        return parse(text);
    }

    public static Config parse(String text) {
        if (!(JsonReader.parse(text) instanceof Map<?, ?> all)) {
            throw new IllegalArgumentException("the configuration is no object");
        }
        Map<String, String> pairs = new LinkedHashMap<>();
        flatten("", all.get("settings"), pairs);
        Settings settings = SettingsReader.read(pairs);
        List<InetSocketAddress> peers = new ArrayList<>();
        if (all.get("peers") instanceof List<?> list) {
            for (Object peer : list) {
                peers.add(address("peers", peer));
            }
        }
        Map<?, ?> limits = all.get("limits") instanceof Map<?, ?> map ? map : Map.of();
        return new Config(
                String.valueOf(all.get("name")),
                needed(all, "listen"),
                needed(all, "discovery"),
                optional(all, "counter"),
                optional(all, "peer_listen"),
                peers,
                seed(all.get("seed")),
                whole(limits.get("memory_mb"), 192),
                whole(limits.get("sockets"), 1024),
                all.get("known") instanceof Map<?, ?> known ? known : null,
                settings,
                names(pairs, "Lanes.", "Name"),
                names(pairs, "Packages.", "Name"),
                words(pairs, "Azs"),
                words(pairs, "Flavors"),
                Math.max(1000, figure(pairs, "Bounds.DialTimeoutUs")),
                figure(pairs, "Bounds.ConnIdleUs"),
                Double.parseDouble(pairs.getOrDefault("FamilyInfo.Largest", "0")));
    }

    /** Nested JSON to the paths of the bench's wire: a list of objects has its length under .count. */
    private static void flatten(String path, Object value, Map<String, String> pairs) {
        if (value instanceof Map<?, ?> map) {
            map.forEach((k, v) -> flatten(path.isEmpty() ? k.toString() : path + "." + k, v, pairs));
        } else if (value instanceof List<?> list && list.stream().anyMatch(v -> v instanceof Map)) {
            pairs.put(path + ".count", Integer.toString(list.size()));
            for (int i = 0; i < list.size(); i++) {
                flatten(path + "." + i, list.get(i), pairs);
            }
        } else if (value instanceof List<?> list) {
            pairs.put(path, String.join(",", list.stream().map(String::valueOf).toList()));
        } else if (value != null) {
            pairs.put(path, value.toString());
        }
    }

    private static List<String> names(Map<String, String> pairs, String list, String key) {
        List<String> names = new ArrayList<>();
        for (int i = 0; pairs.containsKey(list + i + "." + key); i++) {
            names.add(pairs.get(list + i + "." + key));
        }
        return names;
    }

    private static List<String> words(Map<String, String> pairs, String key) {
        String value = pairs.getOrDefault(key, "");
        return value.isEmpty() ? List.of() : List.of(value.split(","));
    }

    private static long figure(Map<String, String> pairs, String key) {
        return (long) Double.parseDouble(pairs.getOrDefault(key, "0"));
    }

    private static int whole(Object value, int absent) {
        return value instanceof Double d ? (int) Math.min(Integer.MAX_VALUE, d) : absent;
    }

    private static long seed(Object value) {
        try {
            return value instanceof Double d ? d.longValue() : Long.parseUnsignedLong(String.valueOf(value), 16);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("the configuration's seed is no hexadecimal number", e);
        }
    }

    private static InetSocketAddress needed(Map<?, ?> all, String key) {
        if (all.get(key) == null) {
            throw new IllegalArgumentException("the configuration lacks " + key);
        }
        return address(key, all.get(key));
    }

    private static InetSocketAddress optional(Map<?, ?> all, String key) {
        return all.get(key) == null ? null : address(key, all.get(key));
    }

    /** A numeric address and a port; there is no DNS. */
    public static InetSocketAddress address(String key, Object value) {
        String text = String.valueOf(value);
        int colon = text.lastIndexOf(':');
        try {
            String host = text.substring(0, Math.max(0, colon));
            if (host.isEmpty() || !host.matches("[0-9.]+|\\[[0-9a-fA-F:.]+\\]")) {
                throw new IllegalArgumentException("no numeric address");
            }
            return new InetSocketAddress(host, Integer.parseInt(text.substring(colon + 1)));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("the configuration's " + key + " is no address: " + text, e);
        }
    }
}
