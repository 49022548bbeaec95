package hopdrum.rig.trial;

import com.fasterxml.jackson.databind.ObjectMapper;
import hopdrum.rig.check.Checker;
import hopdrum.rig.trial.TrialFile.Door;
import hopdrum.rig.trial.TrialFile.Step;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** One trial: several real processes of the program, their neighbours, the weather between them, and a verdict. */
public final class Trial implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int LEAST_PORT = 12_000;
    private static final int PORTS = 20_000;
    private static final long MOST_WARM_US = 60_000_000;
    private static final int MOST_TERM_MS = 6_000;

    private final TrialFile file;
    private final Path out;
    private final Path home;
    private final Journal journal;
    private final Relay.Sky sky = new Relay.Sky();
    private final Map<String, Relay> relays = new LinkedHashMap<>();
    private final Map<String, Integer> clientPorts = new LinkedHashMap<>();
    private final Map<String, Way> passing = new HashMap<>(); // to each door, for what others pass on to it
    private final Map<String, Integer> fleetPorts = new HashMap<>();
    private final Map<String, Boolean> lost = new LinkedHashMap<>(); // sites
    private Map<String, Double> oneWayMs = Map.of();
    private final Map<String, Neighbours> neighbours = new LinkedHashMap<>();
    private final Map<String, Process> running = new ConcurrentHashMap<>();
    private final Map<String, Integer> starts = new HashMap<>();
    private final Map<String, List<String>> tiers = new LinkedHashMap<>();
    private final long seed;
    private final SplittableRandom ports =
            new SplittableRandom(System.nanoTime() ^ ProcessHandle.current().pid());
    private final Map<Integer, ServerSocket> reserved = new HashMap<>();
    private Clients clients;
    private Thread watch;

    /** home is where target/ lies. */
    Trial(Path trialFile, long seed, Path out, Path home) throws IOException {
        this.file = new TrialFile(trialFile, seed);
        this.seed = seed;
        this.out = out;
        this.home = home;
        Files.createDirectories(out);
        journal = new Journal(out.resolve("rig.jsonl"));
    }

    /**
     * Runs a trial to its verdict; true if all rules were kept. Whatever ends it, its processes are ended too.
     *
     * @param say who is told the verdict's line
     */
    public static boolean run(Path trialFile, long seed, Path out, Path home, java.util.function.Consumer<String> say)
            throws IOException, InterruptedException {
        Trial trial = new Trial(trialFile, seed, out, home);
        Thread atEnd = new Thread(trial::killAll, "trial-end");
        Runtime.getRuntime().addShutdownHook(atEnd);
        try (trial) {
            trial.play();
        } finally {
            Runtime.getRuntime().removeShutdownHook(atEnd);
        }
        Checker checker = new Checker(out);
        checker.measured().forEach(line -> say.accept("measured: " + line));
        String broken = checker.verdict();
        say.accept(broken == null ? "verdict: kept" : "verdict: broken " + broken);
        return broken == null;
    }

    /**
     * Below the ports that connections are given on their way out, and held until its process starts: guards against
     * another taking it meanwhile.
     */
    private int freePort() throws IOException {
        for (int i = 0; i < 1_000; i++) {
            int port = LEAST_PORT + ports.nextInt(PORTS);
            try {
                ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
                reserved.put(port, socket);
                return port;
            } catch (java.net.BindException e) {
                // another's: the next
            }
        }
        throw new IOException("no free port");
    }

    private void giveUp(int port) throws IOException {
        ServerSocket socket = reserved.remove(port);
        if (socket != null) {
            socket.close();
        }
    }

    private void play() throws IOException, InterruptedException {
        for (Door door : file.doors) {
            tiers.computeIfAbsent(door.operator(), k -> new ArrayList<>()).add(door.name());
        }
        for (String operator : tiers.keySet()) {
            neighbours.put(
                    operator,
                    new Neighbours(
                            operator,
                            new TreeSet<>(file.doors.stream().map(Door::site).toList()),
                            file.backends,
                            file.slots,
                            file.workMs * 1_000L,
                            journal));
        }
        for (Door door : file.doors) {
            fleetPorts.put(door.name(), freePort());
            clientPorts.put(door.name(), freePort());
            if (file.shards > 0) {
                passing.put(door.name(), new Way(clientPorts.get(door.name())));
            }
            relays.put(
                    door.name(), new Relay(door.answersTo(), fleetPorts.get(door.name()), sky, seed + relays.size()));
        }
        Map<String, String> operators = new LinkedHashMap<>();
        Map<String, String> sites = new LinkedHashMap<>();
        file.doors.forEach(d -> operators.put(d.name(), d.operator()));
        file.doors.forEach(d -> sites.put(d.name(), d.site()));
        journal.event(
                "trial",
                "about",
                file.about,
                "period_us",
                file.periodMs * 1_000L,
                "lease_us",
                file.leaseMs * 1_000L,
                "seed",
                seed,
                "doors",
                operators,
                "sites",
                sites,
                "founders",
                file.founders,
                "rate",
                file.rate,
                "burst",
                file.burst,
                "ceiling_rate",
                file.ceilingRate,
                "ceiling_burst",
                file.ceilingBurst,
                "deadline_us",
                file.deadlineMs * 1_000L,
                "tiers",
                tiers,
                "shards",
                file.shards,
                "most_alone_us",
                file.mostAloneMs * 1_000L);
        for (Map.Entry<String, Map<String, Object>> t : file.terms.entrySet()) {
            terms(t.getKey(), t.getValue());
        }
        for (Door door : file.doors) {
            neighbours.get(door.operator()).discoveryFor(door.name(), door.site());
        }
        distances("", 1);
        for (String door : file.warm) {
            start(door, "kept");
        }
        awaitSettled(file.warm);
        long begin = Journal.nowUs();
        journal.event("begin");
        watch = Threads.start("lateness", this::lateness);
        boolean loaded = false;
        for (Step step : file.steps) {
            long inUs = begin + step.atMs() * 1_000 - Journal.nowUs();
            if (inUs > 0) {
                TimeUnit.MICROSECONDS.sleep(inUs);
            }
            journal.event("step", "do", step.what(), "who", step.who(), "more", step.more(), "at_ms", step.atMs());
            take(step);
            if (!loaded && step.what().equals("expect_settled") && file.rpcsASecond > 0) {
                loaded = true; // clients come once the first view is expected
                clients = new Clients(
                        journal,
                        clientPorts,
                        file.shards > 0 ? List.of(List.copyOf(clientPorts.keySet())) : new ArrayList<>(tiers.values()),
                        file.shards > 0,
                        file.entries,
                        file.rpcsASecond,
                        file.customers,
                        file.deadlineMs,
                        seed);
                long delay = (long) (1_000 * step.number("within_s", 0));
                Threads.start("load", () -> {
                    try {
                        Thread.sleep(delay);
                        clients.start();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
            }
        }
        long left = begin + file.lengthMs * 1_000 - Journal.nowUs();
        TimeUnit.MICROSECONDS.sleep(Math.max(0, left));
        if (clients != null) {
            clients.close();
        }
        journal.event("end");
        sky.clear();
        List<Thread> ends = new ArrayList<>();
        for (String door : List.copyOf(running.keySet())) {
            signal(door, "CONT");
            ends.add(Threads.start("term-" + door, () -> term(door)));
        }
        for (Thread t : ends) {
            t.join();
        }
    }

    @SuppressWarnings("unchecked")
    private void take(Step step) throws IOException, InterruptedException {
        List<String> from = (List<String>) step.more().getOrDefault("from", List.of());
        List<String> to = (List<String>) step.more().getOrDefault("to", List.of());
        switch (step.what()) {
            case "start" -> {
                for (String door : step.who()) {
                    start(door, step.text("store", "kept"));
                }
            }
            case "kill" -> step.who().forEach(this::kill);
            case "term" -> step.who().forEach(door -> Threads.start("term-" + door, () -> term(door)));
            case "pause" -> step.who().forEach(door -> signal(door, "STOP"));
            case "wake" -> step.who().forEach(door -> signal(door, "CONT"));
            case "cut" -> each(from, to, false, w -> w.cut = true);
            case "cut_both" -> each(from, to, true, w -> w.cut = true);
            case "heal" -> {
                sky.clear();
                lost.clear();
                distances("", 1);
                for (Door d : file.doors) {
                    neighbours.get(d.operator()).lost(d.site(), false);
                }
            }
            case "amend" ->
                terms(step.who().get(0), (Map<String, Object>) step.more().get("terms"));
            case "await_revision" -> awaitRevision(step.who().get(0));
            case "lose_passing" ->
                step.who()
                        .forEach(door -> passing.get(door)
                                .lost(!Boolean.FALSE.equals(step.more().get("now"))));
            case "lie" -> step.who().forEach(door -> sky.lies(answersTo(door), step.number("times", 1)));
            case "lose_site" -> {
                for (Neighbours n : neighbours.values()) {
                    n.lost(step.text("site", ""), true);
                }
                lost.put(step.text("site", ""), true);
                tellWays();
            }
            case "slow_site" -> distances(step.text("site", ""), step.number("times", 1));
            case "release" ->
                each(from, to, true, w -> {
                    w.cut = false;
                    w.held = false;
                    w.loss = 0;
                    w.twice = 0;
                    w.delayUs = 0;
                    w.bytesASecond = 0;
                });
            case "delay" -> each(from, to, true, w -> w.delayUs = (long) (1_000 * step.number("ms", 0)));
            case "lose" -> each(from, to, true, w -> w.loss = step.number("percent", 0) / 100);
            case "duplicate" -> each(from, to, true, w -> w.twice = step.number("percent", 0) / 100);
            case "hold" -> each(from, to, true, w -> w.held = true);
            case "trickle" -> each(from, to, true, w -> w.bytesASecond = (long) step.number("bytes_a_second", 100));
            case "reset" -> to.forEach(door -> relays.get(door).reset(Set.copyOf(from)));
            case "counter" -> {
                for (String door : step.who()) {
                    neighbours.get(operator(door)).counter(door, step.text("is", "well"));
                }
            }
            default -> {} // an expectation: the checker's
        }
    }

    /** An operator's terms file; moments are given as seconds from now. Moved into place, so that none is read half. */
    private void terms(String operator, Map<String, Object> keys) throws IOException {
        StringBuilder text = new StringBuilder();
        for (Map.Entry<String, Object> e : keys.entrySet()) {
            if (e.getKey().equals("until_s") || e.getKey().equals("from_s")) {
                text.append(e.getKey(), 0, e.getKey().length() - 2)
                        .append(": ")
                        .append(Instant.now().plusMillis((long) (1_000 * ((Number) e.getValue()).doubleValue())))
                        .append('\n');
            } else {
                text.append(e.getKey())
                        .append(": ")
                        .append(JSON.writeValueAsString(e.getValue()))
                        .append('\n');
            }
        }
        Path beside = out.resolve("terms-" + operator + ".new");
        Files.writeString(beside, text.toString());
        Files.move(
                beside,
                out.resolve("terms-" + operator + ".yaml"),
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
    }

    /** Waits until some door has a division by this revision of the agreement or a later one, 10 s at most. */
    private void awaitRevision(String revision) throws IOException, InterruptedException {
        long endUs = Journal.nowUs() + 10_000_000;
        while (Journal.nowUs() < endUs) {
            for (Door d : file.doors) {
                Path log = out.resolve(d.name() + ".jsonl");
                if (Files.exists(log)
                        && Files.readAllLines(log).stream()
                                .anyMatch(l -> l.contains("\"event\":\"division\"")
                                        && l.contains("\"revision\":" + revision + ","))) {
                    return;
                }
            }
            Thread.sleep(5);
        }
    }

    /** How late the rig's own threads wake, each second: tells a slow machine from a slow program. */
    private void lateness() {
        try {
            while (true) {
                long worst = 0;
                for (long end = Journal.nowUs() + 1_000_000; Journal.nowUs() < end; ) {
                    long before = Journal.nowUs();
                    Thread.sleep(5);
                    worst = Math.max(worst, Journal.nowUs() - before - 5_000);
                }
                journal.event("late", "us", worst);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Guards verdicts against a machine that is slow to start processes: time begins once these are all in one view. */
    private void awaitSettled(List<String> doors) throws IOException, InterruptedException {
        long endUs = Journal.nowUs() + MOST_WARM_US;
        for (String door : doors) {
            Path log = out.resolve(door + ".jsonl");
            while (Journal.nowUs() < endUs
                    && !(Files.exists(log)
                            && Files.readAllLines(log).stream()
                                    .anyMatch(line -> line.contains("\"event\":\"view\"")
                                            && doors.stream()
                                                    .allMatch(d -> line.contains("\"" + answersTo(d) + "\":"))))) {
                Thread.sleep(20);
            }
        }
    }

    /** The delay between each two doors by their sites; the ways of one site may be so many times longer. */
    private void distances(String slow, double times) throws IOException {
        Map<String, Double> truth = new LinkedHashMap<>();
        for (Door a : file.doors) {
            for (Door b : file.doors) {
                double ms = file.delaysMs.getOrDefault(
                        a.site() + "-" + b.site(), file.delaysMs.getOrDefault(b.site() + "-" + a.site(), 0.0));
                ms *= !a.site().equals(b.site())
                                && (a.site().equals(slow) || b.site().equals(slow))
                        ? times
                        : 1;
                for (Neighbours n : neighbours.values()) {
                    n.distance(a.site(), b.site(), (long) (1_000 * ms));
                }
                if (a != b) {
                    sky.between(a.answersTo(), b.answersTo()).delayUs = (long) (1_000 * ms);
                }
                truth.put(a.site() + "-" + b.site(), ms);
            }
        }
        if (!file.delaysMs.isEmpty()) {
            journal.event("distances", "one_way_ms", truth);
            oneWayMs = truth;
            tellWays();
        }
    }

    /** What all-knowing doors go by. */
    private void tellWays() throws IOException {
        Files.write(out.resolve("ways.new"), JSON.writeValueAsBytes(Map.of("one_way_ms", oneWayMs, "lost", lost)));
        Files.move(
                out.resolve("ways.new"),
                out.resolve("ways.json"),
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
    }

    private String operator(String door) {
        return file.doors.stream()
                .filter(d -> d.name().equals(door))
                .findFirst()
                .orElseThrow()
                .operator();
    }

    private String answersTo(String door) {
        return file.doors.stream()
                .filter(d -> d.name().equals(door))
                .findFirst()
                .orElseThrow()
                .answersTo();
    }

    private void each(
            List<String> from, List<String> to, boolean both, java.util.function.Consumer<Relay.Weather> what) {
        for (String a : from) {
            for (String b : to) {
                if (!a.equals(b)) {
                    what.accept(sky.between(answersTo(a), answersTo(b)));
                    if (both) {
                        what.accept(sky.between(answersTo(b), answersTo(a)));
                    }
                }
            }
        }
    }

    // ---- Processes ----

    private void start(String door, String store) throws IOException {
        Door d = file.doors.stream()
                .filter(x -> x.name().equals(door))
                .findFirst()
                .orElseThrow();
        Path folder = out.resolve(door);
        Path kept = folder.resolve("store").resolve("member.cbor");
        Files.createDirectories(folder);
        if (store.equals("lost")) {
            Files.deleteIfExists(kept);
        } else if (store.equals("torn") && Files.exists(kept)) {
            byte[] bytes = Files.readAllBytes(kept);
            Files.write(kept, java.util.Arrays.copyOf(bytes, bytes.length * 2 / 3));
        }
        Path config = folder.resolve("config.json");
        Files.write(config, JSON.writerWithDefaultPrettyPrinter().writeValueAsBytes(config(d)));
        Path fleet = folder.resolve("fleet.yaml");
        List<String> seeds = file.founders.stream()
                .limit(3)
                .map(n -> "\"127.0.0.1:" + relays.get(n).port() + "\"")
                .toList();
        Files.writeString(
                fleet,
                "fleet: trial\noperator: " + d.operator() + "\noperators: [" + String.join(", ", tiers.keySet())
                        + "]\nsite: "
                        + d.site() + "\nname: " + d.answersTo() + "\nlisten: 127.0.0.1:" + fleetPorts.get(door)
                        + "\nadvertise: 127.0.0.1:"
                        + relays.get(door).port() + "\nseeds: [" + String.join(", ", seeds) + "]\nfounders: ["
                        + String.join(", ", file.founders)
                        + "]\nstore: " + folder.resolve("store") + "\nlog: " + out.resolve(door + ".jsonl")
                        + "\nprobe_period_ms: " + file.periodMs
                        + "\nlease_ms: " + file.leaseMs + "\nplacement: " + file.placement + "\n"
                        + (file.shards == 0
                                ? ""
                                : "shards: " + file.shards
                                        + "\nmost_alone_ms: " + file.mostAloneMs + "\nserves: 127.0.0.1:"
                                        + passing.get(door).port() + "\n"
                                        + (file.terms.containsKey(d.operator())
                                                ? "terms: " + out.resolve("terms-" + d.operator() + ".yaml") + "\n"
                                                : "")));
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        List<String> command =
                new ArrayList<>(List.of(java, "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx96m", "-Xss512k"));
        if (d.planted().isEmpty()) {
            command.addAll(List.of(
                    "-jar", home.resolve("target/hopdrum.jar").toString(), "serve", "--fleet", fleet.toString()));
        } else {
            command.addAll(List.of(
                    "-cp",
                    home.resolve("target/hopdrum.jar") + File.pathSeparator + home.resolve("target/lib") + "/*"
                            + File.pathSeparator + home.resolve("target/test-classes"),
                    "hopdrum.rig.faulty.FaultyServer",
                    d.planted(),
                    fleet.toString()));
        }
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        folder.resolve("output.txt").toFile()));
        builder.environment().put("LB_CONFIG", config.toString());
        giveUp(fleetPorts.get(door));
        giveUp(clientPorts.get(door));
        Process process = builder.start();
        running.put(door, process);
        starts.merge(door, 1, Integer::sum);
        journal.event("started", "door", door, "pid", process.pid(), "store", store);
        Threads.start("watch-" + door, () -> {
            int code = process.onExit().join().exitValue();
            running.remove(door, process);
            journal.event("exited", "door", door, "code", code);
        });
    }

    private Map<String, Object> config(Door d) throws IOException {
        Neighbours near = neighbours.get(d.operator());
        List<String> tier = tiers.get(d.operator());
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("NInstances", tier.size());
        settings.put("Ordinal", tier.indexOf(d.name()));
        settings.put("TickUs", 1_000);
        settings.put(
                "Azs",
                new ArrayList<>(
                        new TreeSet<>(file.doors.stream().map(Door::site).toList())));
        settings.put("Flavors", List.of("any"));
        settings.put("Weights", "none");
        settings.put("RegistryMode", "push");
        long dl = file.deadlineMs * 1_000L;
        settings.put(
                "Lanes",
                List.of(
                        Map.of("Name", "read", "AimUs", dl / 2, "GiveUpUs", dl, "Effect", "retryable"),
                        Map.of(
                                "Name",
                                "write",
                                "AimUs",
                                dl / 2,
                                "GiveUpUs",
                                dl,
                                "Effect",
                                "dedup",
                                "Group",
                                "all",
                                "WindowUs",
                                5_000_000),
                        Map.of("Name", "once", "AimUs", dl / 2, "GiveUpUs", dl, "Effect", "fragile")));
        settings.put(
                "Packages",
                List.of(Map.of(
                        "Name",
                        "trial",
                        "PerSecond",
                        file.rate,
                        "Burst",
                        file.burst,
                        "CapRate",
                        file.ceilingRate,
                        "CeilingBurst",
                        file.ceilingBurst,
                        "CapSlack",
                        0)));
        settings.put("FamilyInfo", Map.of("MayCount", true, "CountWaitUs", 50_000));
        settings.put(
                "Bounds",
                Map.of(
                        "AttemptsCap",
                        3,
                        "Cancel",
                        true,
                        "SecondCopies",
                        false,
                        "Peers",
                        false,
                        "RetryAfter",
                        true,
                        "MaxRetryAfterUs",
                        500_000,
                        "DialTimeoutUs",
                        250_000,
                        "ConnIdleUs",
                        15_000_000));
        settings.put("Report", Map.of("Fields", List.of("depth"), "Source", "answers"));
        settings.put(
                "Rules",
                Map.of("ColdFrom", 0.25, "WarmAfterUs", 1_000_000, "OverloadFactor", 2.0, "FallUs", 1_500_000));
        Map<String, Object> config = new LinkedHashMap<>();
        config.put("name", d.name());
        config.put("listen", "127.0.0.1:" + clientPorts.get(d.name()));
        config.put("discovery", "127.0.0.1:" + near.discoveryFor(d.name(), d.site()));
        config.put("counter", "127.0.0.1:" + near.counterFor(d.name()));
        config.put("peers", List.of());
        config.put(
                "seed",
                Long.toHexString(seed * 1_000 + starts.getOrDefault(d.name(), 0) * 100 + tier.indexOf(d.name()) + 1));
        config.put("limits", Map.of("cores", 1.0, "memory_mb", 192, "sockets", 1024));
        config.put("settings", settings);
        return config;
    }

    private void signal(String door, String which) {
        Process process = running.get(door);
        if (process != null) {
            try {
                new ProcessBuilder("kill", "-" + which, Long.toString(process.pid()))
                        .start()
                        .waitFor();
                journal.event("signal", "door", door, "which", which);
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private void kill(String door) {
        Process process = running.remove(door);
        if (process != null) {
            process.destroyForcibly();
            process.onExit().join();
            journal.event("killed", "door", door);
        }
    }

    private void term(String door) {
        Process process = running.get(door);
        if (process == null) {
            return;
        }
        journal.event("term", "door", door);
        process.destroy();
        try {
            boolean ended = process.waitFor(MOST_TERM_MS, TimeUnit.MILLISECONDS);
            journal.event("ended", "door", door, "by_itself", ended, "code", ended ? process.exitValue() : -1);
            if (!ended) {
                process.destroyForcibly();
                process.onExit().join();
            }
            running.remove(door, process);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void killAll() {
        for (Process p : running.values()) {
            p.destroyForcibly();
        }
        running.values().forEach(p -> p.onExit().join());
    }

    @Override
    public void close() throws IOException {
        if (watch != null) {
            watch.interrupt();
        }
        if (clients != null) {
            clients.close();
        }
        killAll();
        for (ServerSocket socket : reserved.values()) {
            socket.close();
        }
        for (Relay r : relays.values()) {
            r.close();
        }
        for (Neighbours n : neighbours.values()) {
            n.close();
        }
        for (Way w : passing.values()) {
            w.close();
        }
        journal.close();
    }

    /** ./trial FILE [--seed N] [--out DIR]: exit 0 if all rules were kept, 1 if one was broken, 2 for a bad file. */
    public static void main(String[] args) throws IOException, InterruptedException {
        Path trialFile = null;
        long seed = 1;
        Path out = null;
        for (int i = 0; i < args.length; i++) {
            if (args[i].equals("--seed") && i + 1 < args.length) {
                seed = Long.parseLong(args[++i]);
            } else if (args[i].equals("--out") && i + 1 < args.length) {
                out = Path.of(args[++i]);
            } else if (trialFile == null && !args[i].startsWith("-")) {
                trialFile = Path.of(args[i]);
            } else {
                trialFile = null;
                break;
            }
        }
        if (trialFile == null) {
            System.err.println("usage: ./trial FILE [--seed N] [--out DIR]");
            System.exit(2);
            return;
        }
        boolean keeps = out != null;
        Path folder = keeps ? out : Files.createTempDirectory("hopdrum-trial");
        int code;
        try {
            code = run(
                            trialFile,
                            seed,
                            folder,
                            Path.of(System.getProperty("trial.home", "")).toAbsolutePath(),
                            System.out::println)
                    ? 0
                    : 1;
        } catch (IllegalArgumentException e) {
            System.err.println(e.getMessage());
            code = 2;
        }
        if (!keeps) {
            delete(folder);
        }
        System.exit(code);
    }

    public static void delete(Path folder) throws IOException {
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path p : all.sorted(java.util.Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(p);
            }
        }
    }
}
