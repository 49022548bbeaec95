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
    private final Map<String, HttpStandIn> discoveryStandIns = new HashMap<>(); // by door: each has paths of its own
    private final Map<SitePair, List<DelayingProxy>> paths = new HashMap<>(); // from doors to backends
    private final CounterStandIns counter;

    /** Starts the backends of one operator at each of these sites. */
    PlatformStandIns(String operator, Collection<String> sites, Backends backendsPerSite, EventJournal journal)
            throws IOException {
        this.journal = journal;
        this.operator = operator;
        this.counter = new CounterStandIns(journal);
        for (String site : sites) {
            for (int i = 0; i < backendsPerSite.count(); i++) {
                backends.add(startBackend(operator + "-" + site + "-b" + i, site, backendsPerSite));
            }
        }
    }

    private Backend startBackend(String name, String site, Backends backendsPerSite) throws IOException {
        Semaphore slots =
                new Semaphore(backendsPerSite.slots() == 0 ? Integer.MAX_VALUE : backendsPerSite.slots(), true);
        HttpStandIn standIn = new HttpStandIn(name, (request, out) -> {
            journal.event("ran")
                    .with("rpc", request.header("X-Trace-Id"))
                    .with("backend", name)
                    .with("method", request.header("X-Qos"))
                    .with("site", site)
                    .with("operator", operator)
                    .write();
            slots.acquire();
            Thread.sleep(backendsPerSite.workMs());
            slots.release();
            HttpStandIn.writeOk(out, "done");
        });
        return new Backend(name, site, standIn);
    }

    /** The port of discovery for one door, whose answers name each backend at the end of a path of the door's own. */
    int discoveryPortFor(String frontDoor, String site) throws IOException {
        HttpStandIn discovery = discoveryStandIns.get(frontDoor);
        if (discovery == null) {
            String endpoints = endpointList(site);
            discovery = new HttpStandIn(
                    "discovery-" + frontDoor, (request, out) -> handleDiscovery(endpoints, request, out));
            discoveryStandIns.put(frontDoor, discovery);
        }
        return discovery.port();
    }

    private String endpointList(String frontDoorSite) throws IOException {
        List<Map<String, Object>> hosts = new ArrayList<>();
        for (Backend backend : backends) {
            DelayingProxy path = new DelayingProxy(backend.standIn.port());
            paths.computeIfAbsent(new SitePair(frontDoorSite, backend.site), pair -> new ArrayList<>())
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
        return toJson(list);
    }

    private static String toJson(Map<String, Object> object) {
        try {
            return JSON.writeValueAsString(object);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The endpoint list; to a watch followed by empty lines for as long as the connection stands. */
    private static void handleDiscovery(String endpoints, HttpStandIn.Request request, OutputStream out)
            throws IOException, InterruptedException {
        if (!request.path().contains("watch=1")) {
            HttpStandIn.writeOk(out, endpoints);
            return;
        }
        out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        writeChunk(out, endpoints + "\n");
        while (true) {
            Thread.sleep(KEEP_ALIVE_MS);
            writeChunk(out, "\n");
        }
    }

    private static void writeChunk(OutputStream out, String text) throws IOException {
        out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    /** Sets the delay between the doors at one site and the backends at another. */
    void setDelay(String fromSite, String toSite, long oneWayUs) {
        paths.getOrDefault(new SitePair(fromSite, toSite), List.of()).forEach(path -> path.setDelay(oneWayUs));
    }

    /** From now on the backends of a site are unreachable. */
    void blockSite(String site) {
        pathsTo(site).forEach(DelayingProxy::block);
    }

    /** The backends of a site are reachable again. */
    void unblockSite(String site) {
        pathsTo(site).forEach(DelayingProxy::unblock);
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
        for (HttpStandIn discovery : discoveryStandIns.values()) {
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
