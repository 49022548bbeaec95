package hopdrum.rig.trial;

import java.io.IOException;
import java.io.OutputStream;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-ins for one operator's counter service. They share one set of totals, and each front door has an address of its
 * own, so that the counter can fail for a single front door.
 */
final class CounterStandIns implements AutoCloseable {
    private static final long SILENT_DELAY_MS = 10_000;
    private static final long SLOW_DELAY_MS = 200;
    private static final Pattern DELTA = Pattern.compile("delta=([-0-9.]+)");

    private final EventJournal journal;
    private final Map<String, HttpStandIn> standInsByFrontDoor = new HashMap<>();
    private final Map<String, CounterState> states = new ConcurrentHashMap<>(); // by front door
    private final Map<String, Double> totals = new HashMap<>(); // by the name in the path; guarded by itself

    CounterStandIns(EventJournal journal) {
        this.journal = journal;
    }

    /**
     * Returns the port at which a front door reaches the counter, and opens the port at the first call.
     *
     * @throws IOException if no port can be opened
     */
    int portFor(String frontDoor) throws IOException {
        HttpStandIn counter = standInsByFrontDoor.get(frontDoor);
        if (counter == null) {
            counter = new HttpStandIn("counter-" + frontDoor, (request, out) -> handle(frontDoor, request, out));
            standInsByFrontDoor.put(frontDoor, counter);
        }
        return counter.port();
    }

    private void handle(String frontDoor, HttpStandIn.Request request, OutputStream out)
            throws IOException, InterruptedException {
        switch (states.getOrDefault(frontDoor, CounterState.WELL)) {
            case SILENT -> {
                Thread.sleep(SILENT_DELAY_MS);
                throw new IOException("silent: no answer");
            }
            case SLOW -> Thread.sleep(SLOW_DELAY_MS);
            default -> {}
        }
        String path = request.path();
        String name = path.substring(path.lastIndexOf('/') + 1, path.indexOf('?'));
        Matcher delta = DELTA.matcher(path);
        if (!delta.find()) {
            throw new IOException("no delta in " + path);
        }
        double total;
        synchronized (totals) {
            total = totals.merge(name, Double.parseDouble(delta.group(1)), Double::sum);
        }
        HttpStandIn.writeOk(out, String.format(Locale.ROOT, "%.6f", total));
    }

    /** Sets how the counter behaves towards a front door, and closes the front door's connections to the counter. */
    void setState(String frontDoor, CounterState state) {
        journal.event("counter").with("door", frontDoor).with("is", state.key()).write();
        if (state == CounterState.EMPTIED) {
            synchronized (totals) {
                totals.clear();
            }
        }
        states.put(frontDoor, state == CounterState.EMPTIED ? CounterState.WELL : state);
        if (standInsByFrontDoor.containsKey(frontDoor)) {
            standInsByFrontDoor.get(frontDoor).closeConnections();
        }
    }

    @Override
    public void close() throws IOException {
        for (HttpStandIn counter : standInsByFrontDoor.values()) {
            counter.close();
        }
    }
}
