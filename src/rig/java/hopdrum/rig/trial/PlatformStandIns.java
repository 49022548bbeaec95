package hopdrum.rig.trial;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import hopdrum.rig.trial.TrialFile.Backends;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Semaphore;

/** Stand-ins for the platform around one operator's doors: backends, discovery and the counter. */
final class PlatformStandIns implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long KEEP_ALIVE_MS = 1_000;

    private record Backend(String name, String site, HttpStandIn standIn) {}

    /** A direction between two sites. */
    private record SitePair(String from, String to) {}

    private final EventJournal journal;
    private final String operator;
    private final List<Backend> backends = new ArrayList<>();
    private final Map<String, HttpStandIn> discoveries = new HashMap<>(); // by door: each has paths of its own
    private final Map<SitePair, List<DelayingProxy>> paths = new HashMap<>(); // from doors to backends
    private final CounterStandIns counter;

    /** Starts the backends of one operator at each of these sites. */
    PlatformStandIns(String operator, Collection<String> sites, Backends perSite, EventJournal journal)
            throws IOException {
        this.journal = journal;
        this.operator = operator;
        this.counter = new CounterStandIns(journal);
        for (String site : sites) {
            for (int i = 0; i < perSite.count(); i++) {
                backends.add(backend(operator + "-" + site + "-b" + i, site, perSite));
            }
        }
    }

    private Backend backend(String name, String site, Backends perSite) throws IOException {
        Semaphore slots = new Semaphore(perSite.slots() == 0 ? Integer.MAX_VALUE : perSite.slots(), true);
        HttpStandIn standIn = new HttpStandIn(name, (request, to) -> {
            journal.event("ran")
                    .with("rpc", request.field("X-Trace-Id"))
                    .with("backend", name)
                    .with("method", request.field("X-Qos"))
                    .with("site", site)
                    .with("operator", operator)
                    .write();
            slots.acquire();
            Thread.sleep(perSite.workMs());
            slots.release();
            HttpStandIn.writeOk(to, "done");
        });
        return new Backend(name, site, standIn);
    }

    /** The port of discovery for one door, whose answers name each backend at the end of a path of the door's own. */
    int discoveryPortFor(String door, String site) throws IOException {
        HttpStandIn discovery = discoveries.get(door);
        if (discovery == null) {
            String endpoints = endpointList(site);
            discovery = new HttpStandIn("discovery-" + door, (request, to) -> discover(endpoints, request, to));
            discoveries.put(door, discovery);
        }
        return discovery.port();
    }

    private String endpointList(String doorSite) throws IOException {
        List<Map<String, Object>> hosts = new ArrayList<>();
        for (Backend backend : backends) {
            DelayingProxy path = new DelayingProxy(backend.standIn.port());
            paths.computeIfAbsent(new SitePair(doorSite, backend.site), pair -> new ArrayList<>())
                    .add(path);
            Map<String, Object> host = new LinkedHashMap<>();
            host.put("host", backend.name);
            host.put("dial", "127.0.0.1:" + path.port());
            host.put("site", backend.site);
            host.put("class", "any");
            host.put("block", 0);
            host.put("health", "in_service");
            host.put("share", 1.0);
            host.put("born_ms", 0);
            hosts.add(host);
        }
        Map<String, Object> list = new LinkedHashMap<>();
        list.put("seq", 1);
        list.put("whole", true);
        list.put("hosts", hosts);
        return json(list);
    }

    private static String json(Map<String, Object> object) {
        try {
            return JSON.writeValueAsString(object);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The endpoint list; to a watch followed by empty lines for as long as the connection stands. */
    private static void discover(String endpoints, HttpStandIn.Request request, OutputStream to)
            throws IOException, InterruptedException {
        if (!request.path().contains("watch=1")) {
            HttpStandIn.writeOk(to, endpoints);
            return;
        }
        to.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        writeChunk(to, endpoints + "\n");
        while (true) {
            Thread.sleep(KEEP_ALIVE_MS);
            writeChunk(to, "\n");
        }
    }

    private static void writeChunk(OutputStream to, String text) throws IOException {
        to.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.US_ASCII));
        to.flush();
    }

    /** Sets the delay between the doors at one site and the backends at another. */
    void delay(String fromSite, String toSite, long oneWayUs) {
        paths.getOrDefault(new SitePair(fromSite, toSite), List.of()).forEach(path -> path.delay(oneWayUs));
    }

    /** From now on the backends of a site are unreachable. */
    void loseSite(String site) {
        pathsTo(site).forEach(DelayingProxy::lose);
    }

    /** The backends of a site are reachable again. */
    void restoreSite(String site) {
        pathsTo(site).forEach(DelayingProxy::restore);
    }

    private List<DelayingProxy> pathsTo(String site) {
        return paths.entrySet().stream()
                .filter(entry -> entry.getKey().to.equals(site))
                .flatMap(entry -> entry.getValue().stream())
                .toList();
    }

    /** The operator's counter. */
    CounterStandIns counter() {
        return counter;
    }

    @Override
    public void close() throws IOException {
        for (HttpStandIn discovery : discoveries.values()) {
            discovery.close();
        }
        for (List<DelayingProxy> between : paths.values()) {
            for (DelayingProxy path : between) {
                path.close();
            }
        }
        for (Backend backend : backends) {
            backend.standIn.close();
        }
        counter.close();
    }
}
