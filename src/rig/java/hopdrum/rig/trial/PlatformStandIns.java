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

/** Stand-ins for the platform services of one operator's front doors: backends, discovery and the counter. */
final class PlatformStandIns implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long KEEP_ALIVE_MS = 1_000;

    /** A backend at a site. */
    private record Backend(String name, String site, HttpStandIn standIn) {}

    /** One direction between two sites. */
    private record SitePair(String from, String to) {}

    private final EventJournal journal;
    private final String operator;
    private final List<Backend> backends = new ArrayList<>();
    private final Map<String, HttpStandIn> discoveryStandIns = new HashMap<>(); // by front door
    private final Map<SitePair, List<DelayingProxy>> paths = new HashMap<>(); // from front doors to backends
    private final CounterStandIns counter;

    /**
     * Starts the backends of one operator.
     *
     * @param sites the sites; each has the backends that {@code backendsPerSite} describes
     * @throws IOException if no port can be opened
     */
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

    /**
     * Returns the port of discovery for one front door. Discovery lists each backend under the address of a path that
     * only this front door uses. The first call starts the stand-in and opens the paths.
     *
     * @throws IOException if no port can be opened
     */
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

    /** Responds with the endpoint list; to a watch also with an empty line per second until the connection ends. */
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

    /** Sets the one-way delay, in microseconds, between the front doors at one site and the backends at another. */
    void setDelay(String fromSite, String toSite, long oneWayUs) {
        paths.getOrDefault(new SitePair(fromSite, toSite), List.of()).forEach(path -> path.setDelay(oneWayUs));
    }

    /** Makes the backends of a site unreachable. */
    void blockSite(String site) {
        pathsTo(site).forEach(DelayingProxy::block);
    }

    /** Makes the backends of a site reachable again. */
    void unblockSite(String site) {
        pathsTo(site).forEach(DelayingProxy::unblock);
    }

    private List<DelayingProxy> pathsTo(String site) {
        return paths.entrySet().stream()
                .filter(entry -> entry.getKey().to.equals(site))
                .flatMap(entry -> entry.getValue().stream())
                .toList();
    }

    /** Returns the stand-ins for the operator's counter. */
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
