package hopdrum.rig.trial;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Backends, discovery and the counter of one operator, as stand-ins. */
final class Neighbours implements AutoCloseable {
    private final Journal journal;
    private final List<HttpStandIn> backends = new ArrayList<>();
    private final Map<String, HttpStandIn> counters = new HashMap<>(); // by door: each can fall silent for one alone
    private final Map<String, String> counterState = new ConcurrentHashMap<>();
    private final Map<String, Double> totals = new HashMap<>();        // emptied by 'emptied' and with the trial
    private final HttpStandIn discovery;
    private final String list;

    Neighbours(String operator, int count, long workUs, Journal journal) throws IOException {
        this.journal = journal;
        StringBuilder hosts = new StringBuilder();
        for (int i = 0; i < count; i++) {
            String name = operator + "-b" + i;
            HttpStandIn backend = new HttpStandIn(name, (request, to) -> {
                journal.event("ran", "rpc", request.field("X-Trace-Id"), "backend", name, "method", request.field("X-Qos"));
                Thread.sleep(workUs / 1000);
                HttpStandIn.ok(to, "done");
            });
            backends.add(backend);
            hosts.append(i == 0 ? "" : ",").append("{\"host\":\"").append(name).append("\",\"dial\":\"127.0.0.1:").append(backend.port())
                    .append("\",\"site\":\"here\",\"class\":\"any\",\"block\":0,\"health\":\"in_service\",\"share\":1.0,\"born_ms\":0}");
        }
        list = "{\"seq\":1,\"whole\":true,\"hosts\":[" + hosts + "]}";
        discovery = new HttpStandIn(operator + "-discovery", this::discover);
    }

    private void discover(HttpStandIn.Request request, OutputStream to) throws IOException, InterruptedException {
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

    private void count(String door, HttpStandIn.Request request, OutputStream to) throws IOException, InterruptedException {
        String state = counterState.getOrDefault(door, "well");
        if (state.equals("silent")) {
            Thread.sleep(10_000);
            throw new IOException("given up");
        }
        if (state.equals("slow")) {
            Thread.sleep(200);
        }
        String name = request.path().substring(request.path().lastIndexOf('/') + 1, request.path().indexOf('?'));
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

    int discoveryPort() {
        return discovery.port();
    }

    @Override
    public void close() throws IOException {
        discovery.close();
        for (HttpStandIn s : backends) {
            s.close();
        }
        for (HttpStandIn s : counters.values()) {
            s.close();
        }
    }
}
