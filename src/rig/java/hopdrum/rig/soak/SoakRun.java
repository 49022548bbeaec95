package hopdrum.rig.soak;

import hopdrum.rig.trial.DaemonThreads;
import hopdrum.rig.trial.HttpStandIn;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Plays the soak of one seed. */
final class SoakRun {
    private static final int BACKENDS = 6;
    private static final int LEAVING_CLIENTS = 8;
    private static final int MEMORY_LIMIT_MB = 192;
    private static final int KILL_DELAY_MS = 700; // after the longest deadline
    private static final int MAX_DEADLINE_MS = 3000;
    private static final int SIGNAL_INTERVAL_MS = 300;
    private static final long KEEP_ALIVE_MS = 1000;

    private final SoakPlan plan;
    private final Path home;
    private final Path folder;
    private final SyscallShim shim;
    private final SoakRecords records = new SoakRecords();
    private final Map<String, Double> totals = new ConcurrentHashMap<>(); // of the counter, by name
    private final List<AutoCloseable> standIns = new ArrayList<>();
    private final List<Thread> clients = new ArrayList<>();
    private final LatenessMonitor lateness = new LatenessMonitor();
    private long peakMemoryKib;

    SoakRun(SoakPlan plan, Path home, Path folder, SyscallShim shim) {
        this.plan = plan;
        this.home = home;
        this.folder = folder;
        this.shim = shim;
    }

    /** Plays the soak and returns a line of figures that ends with the verdict. */
    String play() throws Exception {
        Files.createDirectories(folder);
        InetSocketAddress address = freeAddress();
        Path configuration = folder.resolve("config.json");
        Files.writeString(configuration, configuration(address));
        SoakSchedule schedule = new SoakSchedule(address);
        Path counts = folder.resolve("faults");
        try (SoakProcess process = new SoakProcess(home, folder, configuration, shim.environment(plan, counts))) {
            startClients(schedule);
            letClientsSend(process);
            terminate(process, schedule);
            checkProcess(process);
        } finally {
            schedule.processEnded();
            for (AutoCloseable standIn : standIns) {
                standIn.close();
            }
        }
        for (Thread client : clients) {
            client.join(plan.deadlineMs() + 1000L);
        }
        lateness.close();
        SoakChecker.check(records);
        return describe(counts);
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) free.getLocalSocketAddress();
        }
    }

    private String configuration(InetSocketAddress listen) throws IOException {
        StringBuilder hosts = new StringBuilder();
        for (int i = 0; i < BACKENDS; i++) {
            SoakBackend backend = new SoakBackend("b" + i, plan, records);
            standIns.add(backend);
            hosts.append(i == 0 ? "" : ",")
                    .append(String.format(
                            Locale.ROOT,
                            "{\"host\":\"%s\",\"dial\":\"%s\",\"site\":\"z\",\"class\":\"m\",\"block\":0,"
                                    + "\"health\":\"in_service\",\"share\":1.0,\"born_ms\":0}",
                            backend.name,
                            backend.address()));
        }
        String list = "{\"seq\":41,\"whole\":true,\"hosts\":[" + hosts + "]}";
        HttpStandIn counter = new HttpStandIn("counter", this::count);
        HttpStandIn discovery = new HttpStandIn("discovery", (request, out) -> discover(list, request, out));
        standIns.add(counter);
        standIns.add(discovery);
        return Files.readString(home.resolve("src/rig/resources/soak-config.json"))
                .replace("$LISTEN", "127.0.0.1:" + listen.getPort())
                .replace("$DISCOVERY", "127.0.0.1:" + discovery.port())
                .replace("$COUNTER", "127.0.0.1:" + counter.port())
                .replace("$SEED", Long.toHexString(plan.seed()))
                .replace("\"$DEADLINE_US\"", Integer.toString(plan.deadlineMs() * 1000))
                .replace("\"$LIST\"", list);
    }

    private void count(HttpStandIn.Request request, OutputStream out) throws IOException {
        String path = request.path();
        String name = path.substring(0, path.indexOf('?'));
        double delta = Double.parseDouble(path.substring(path.indexOf("delta=") + 6, path.indexOf('&')));
        HttpStandIn.writeOk(out, String.format(Locale.ROOT, "%.6f", totals.merge(name, delta, Double::sum)));
    }

    private static void discover(String list, HttpStandIn.Request request, OutputStream out)
            throws IOException, InterruptedException {
        if (!request.path().contains("watch=1")) {
            HttpStandIn.writeOk(out, list);
            return;
        }
        out.write(SoakRequests.bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
        for (String line = list + "\n"; true; line = "\n") {
            out.write(SoakRequests.bytes(Integer.toHexString(line.length()) + "\r\n" + line + "\r\n"));
            Thread.sleep(KEEP_ALIVE_MS);
        }
    }

    private void startClients(SoakSchedule schedule) {
        List<Runnable> tasks = new ArrayList<>();
        for (int i = 0; i < plan.usualClients(); i++) {
            tasks.add(new UsualClient(i, plan, records, schedule));
        }
        for (int i = 0; i < LEAVING_CLIENTS; i++) {
            tasks.add(new LeavingClient(i, plan, records, schedule));
        }
        if (plan.stalledClients() > 0) {
            tasks.add(new StalledClients(plan, schedule));
        }
        if (plan.flood() != SoakPlan.Flood.NONE) {
            FloodingClient flood = new FloodingClient(plan, records, schedule);
            flood.register();
            tasks.add(flood);
        }
        tasks.forEach(task -> clients.add(DaemonThreads.start("client", task)));
    }

    private void letClientsSend(SoakProcess process) throws IOException, InterruptedException {
        int before = plan.reloads() / 2;
        process.awaitEnd(plan.loadMs() - (long) before * SIGNAL_INTERVAL_MS);
        for (int i = 0; i < before; i++) {
            process.signal("HUP");
            process.awaitEnd(SIGNAL_INTERVAL_MS);
        }
        if (!process.isRunning()) {
            records.violated("crash", "the process ended with " + process.exitCode() + " before SIGTERM");
        }
        peakMemoryKib = process.peakMemoryKib();
    }

    /** Sends SIGTERM, some more signals, and SIGKILL as early as it may come. */
    private void terminate(SoakProcess process, SoakSchedule schedule) throws IOException, InterruptedException {
        long killAtNanos =
                System.nanoTime() + 1_000_000L * (Math.min(plan.deadlineMs(), MAX_DEADLINE_MS) + KILL_DELAY_MS);
        schedule.sigtermSent();
        process.signal("TERM");
        for (int i = 0; i < plan.reloads() - plan.reloads() / 2 && process.isRunning(); i++) {
            process.signal(i % 2 == 0 ? "HUP" : "TERM");
            process.awaitEnd(SIGNAL_INTERVAL_MS);
        }
        peakMemoryKib = Math.max(peakMemoryKib, process.peakMemoryKib());
        if (!process.awaitEnd(Math.max(1, (killAtNanos - System.nanoTime()) / 1_000_000))) {
            process.signal("KILL");
        }
        process.awaitEnd(MAX_DEADLINE_MS);
        schedule.processEnded();
    }

    private void checkProcess(SoakProcess process) throws IOException {
        int exitCode = process.isRunning() ? -1 : process.exitCode();
        if (exitCode != 0 && exitCode != 137) {
            records.violated("crash", "the process ended with " + exitCode);
        }
        if (peakMemoryKib > MEMORY_LIMIT_MB * 1024L) {
            records.violated("memory", "the process used " + peakMemoryKib + " KiB");
        }
        if (process.log().contains(" ERROR ")) {
            records.violated("error", "the log has an ERROR line");
        }
    }

    private String describe(Path counts) throws IOException {
        StringBuilder line = new StringBuilder(plan.toString())
                .append("\n  answers=")
                .append(records.answersByStatus())
                .append(" attempts=")
                .append(records.attempts().size())
                .append(" peak_kib=")
                .append(peakMemoryKib)
                .append(" rig_late_ms=")
                .append(lateness.maxLateMillis())
                .append(" faults: ")
                .append(SyscallShim.describeCounts(counts));
        records.violations().stream()
                .limit(20)
                .forEach(violation -> line.append("\n  broken ")
                        .append(violation.rule())
                        .append(": ")
                        .append(violation.description()));
        return line.append("\n  seed ")
                .append(plan.seed())
                .append(": ")
                .append(
                        records.violations().isEmpty()
                                ? Soak.KEPT
                                : "broken, " + records.violations().size() + " times")
                .toString();
    }
}
