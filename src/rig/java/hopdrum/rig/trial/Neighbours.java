package hopdrum.rig.trial;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;

/** Backends, discovery and the counter of one operator, as stand-ins. */
final class Neighbours implements AutoCloseable {
    private final Journal journal;
    private final List<HttpStandIn> backends = new ArrayList<>();
    private final Map<String, HttpStandIn> counters = new HashMap<>(); // by door: each can fall silent for one alone
    private final Map<String, String> counterState = new ConcurrentHashMap<>();
    private final Map<String, Double> totals = new HashMap<>(); // emptied by 'emptied' and with the trial
    private final Map<String, HttpStandIn> discoveries = new HashMap<>(); // by door: each has ways of its own
    private final Map<String, String> siteOf = new LinkedHashMap<>(); // of backends, by name
    private final Map<String, Integer> portOf = new HashMap<>();
    private final Map<String, List<Way>> ways = new HashMap<>(); // by sites, "from>to"

    /** So many backends at each site, each with so many slots (0: any number). */
    Neighbours(String operator, Collection<String> sites, int count, int slots, long workUs, Journal journal)
            throws IOException {
        this.journal = journal;
        for (String site : sites) {
            for (int i = 0; i < count; i++) {
                String name = operator + "-" + site + "-b" + i;
                Semaphore free = new Semaphore(slots == 0 ? Integer.MAX_VALUE : slots, true);
                HttpStandIn backend = new HttpStandIn(name, (request, to) -> {
                    journal.event(
                            "ran",
                            "rpc",
                            request.field("X-Trace-Id"),
                            "backend",
                            name,
                            "method",
                            request.field("X-Qos"),
                            "site",
                            site,
                            "operator",
                            operator);
                    free.acquire();
                    Thread.sleep(workUs / 1000);
                    free.release();
                    HttpStandIn.ok(to, "done");
                });
                backends.add(backend);
                siteOf.put(name, site);
                portOf.put(name, backend.port());
            }
        }
    }

    /** The list as one door is told it: each backend at the end of a way of its own. */
    int discoveryFor(String door, String site) throws IOException {
        HttpStandIn there = discoveries.get(door);
        if (there == null) {
            StringBuilder hosts = new StringBuilder();
            for (Map.Entry<String, String> b : siteOf.entrySet()) {
                Way way = new Way(portOf.get(b.getKey()));
                ways.computeIfAbsent(site + ">" + b.getValue(), k -> new ArrayList<>())
                        .add(way);
                hosts.append(hosts.length() == 0 ? "" : ",")
                        .append("{\"host\":\"")
                        .append(b.getKey())
                        .append("\",\"dial\":\"127.0.0.1:")
                        .append(way.port())
                        .append("\",\"site\":\"")
                        .append(b.getValue())
                        .append(
                                "\",\"class\":\"any\",\"block\":0,\"health\":\"in_service\",\"share\":1.0,\"born_ms\":0}");
            }
            String list = "{\"seq\":1,\"whole\":true,\"hosts\":[" + hosts + "]}";
            there = new HttpStandIn("discovery-" + door, (request, to) -> discover(list, request, to));
            discoveries.put(door, there);
        }
        return there.port();
    }

    void distance(String from, String to, long oneWayUs) {
        ways.getOrDefault(from + ">" + to, List.of()).forEach(w -> w.delay(oneWayUs));
    }

    /** A site's backends are out of reach, or back. */
    void lost(String site, boolean now) {
        ways.forEach((k, v) -> v.forEach(w -> {
            if (k.endsWith(">" + site)) {
                w.lost(now);
            }
        }));
    }

    private void discover(String list, HttpStandIn.Request request, OutputStream to)
            throws IOException, InterruptedException {
        if (!request.path().contains("watch=1")) {
            HttpStandIn.ok(to, list);
            return;
        }
        to.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        chunk(to, list + "\n");
        while (true) {
            Thread.sleep(1_000);
            chunk(to, "\n");
        }
    }

    private static void chunk(OutputStream to, String text) throws IOException {
        to.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.US_ASCII));
        to.flush();
    }

    /** The counter as one door reaches it; the numbers behind are the operator's. */
    int counterFor(String door) throws IOException {
        HttpStandIn there = counters.get(door);
        if (there == null) {
            there = new HttpStandIn("counter-" + door, (request, to) -> count(door, request, to));
            counters.put(door, there);
        }
        return there.port();
    }

    private void count(String door, HttpStandIn.Request request, OutputStream to)
            throws IOException, InterruptedException {
        String state = counterState.getOrDefault(door, "well");
        if (state.equals("silent")) {
            Thread.sleep(10_000);
            throw new IOException("given up");
        }
        if (state.equals("slow")) {
            Thread.sleep(200);
        }
        String name = request.path()
                .substring(request.path().lastIndexOf('/') + 1, request.path().indexOf('?'));
        double delta = Double.parseDouble(request.path().replaceAll(".*delta=([-0-9.]+).*", "$1"));
        double total;
        synchronized (totals) {
            total = totals.merge(name, delta, Double::sum);
        }
        HttpStandIn.ok(to, String.format(java.util.Locale.ROOT, "%.6f", total));
    }

    /** well, silent, slow; or emptied: the numbers are gone and it is well. */
    void counter(String door, String state) throws IOException {
        journal.event("counter", "door", door, "is", state);
        if (state.equals("emptied")) {
            synchronized (totals) {
                totals.clear();
            }
        }
        counterState.put(door, state.equals("emptied") ? "well" : state);
        if (counters.containsKey(door)) {
            counters.get(door).reset();
        }
    }

    @Override
    public void close() throws IOException {
        for (HttpStandIn s : discoveries.values()) {
            s.close();
        }
        for (List<Way> some : ways.values()) {
            for (Way w : some) {
                w.close();
            }
        }
        for (HttpStandIn s : backends) {
            s.close();
        }
        for (HttpStandIn s : counters.values()) {
            s.close();
        }
    }
}
