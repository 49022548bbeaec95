package hopdrum.rig.trial;

import com.fasterxml.jackson.databind.ObjectMapper;
import hopdrum.rig.trial.TrialFile.FrontDoor;
import hopdrum.rig.trial.TrialFile.Load;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Writes the files that a front door is started with: its platform configuration and its fleet file. */
final class FrontDoorConfiguration {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String LOOPBACK = "127.0.0.1:";
    private static final int MAX_SEEDS = 3;
    private static final long IDEMPOTENCY_WINDOW_US = 5_000_000;

    private final Testbed testbed;
    private final TrialFile file;
    private final Path outputFolder;
    private final long seed;

    /**
     * Creates a writer for the front doors of one trial.
     *
     * @param outputFolder the trial's output folder, which has a subfolder for each front door
     * @param seed the trial's seed, from which each process gets a seed of its own
     */
    FrontDoorConfiguration(Testbed testbed, Path outputFolder, long seed) {
        this.testbed = testbed;
        this.file = testbed.file();
        this.outputFolder = outputFolder;
        this.seed = seed;
    }

    /**
     * Writes the platform configuration of a front door.
     *
     * @param startCount how often the front door has been started before
     * @return the written file
     * @throws IOException if the file cannot be written or a stand-in's port cannot be opened
     */
    Path writePlatformFile(FrontDoor frontDoor, int startCount) throws IOException {
        List<String> tier = testbed.tiers().get(frontDoor.operator());
        PlatformStandIns platform = testbed.platformOf(frontDoor);
        long processSeed = seed * 1_000 + startCount * 100L + tier.indexOf(frontDoor.name()) + 1;
        Map<String, Object> config = new LinkedHashMap<>();
        config.put("name", frontDoor.name());
        config.put("listen", LOOPBACK + testbed.clientPort(frontDoor.name()));
        config.put("discovery", LOOPBACK + platform.discoveryPortFor(frontDoor.name(), frontDoor.site()));
        config.put("counter", LOOPBACK + platform.counter().portFor(frontDoor.name()));
        config.put("peers", List.of());
        config.put("seed", Long.toHexString(processSeed));
        config.put("limits", Map.of("cores", 1.0, "memory_mb", 192, "sockets", 1024));
        config.put("settings", settings(frontDoor, tier));
        Path path = outputFolder.resolve(frontDoor.name()).resolve("config.json");
        Files.write(path, JSON.writerWithDefaultPrettyPrinter().writeValueAsBytes(config));
        return path;
    }

    private Map<String, Object> settings(FrontDoor frontDoor, List<String> tier) {
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("NInstances", tier.size());
        settings.put("Ordinal", tier.indexOf(frontDoor.name()));
        settings.put("TickUs", 1_000);
        settings.put("Azs", new ArrayList<>(file.sites()));
        settings.put("Flavors", List.of("any"));
        settings.put("Weights", "none");
        settings.put("RegistryMode", "push");
        settings.put("Lanes", methods());
        settings.put("Packages", List.of(plan()));
        settings.put("FamilyInfo", Map.of("MayCount", true, "CountWaitUs", 50_000));
        settings.put("Bounds", bounds());
        settings.put("Report", Map.of("Fields", List.of("depth"), "Source", "answers"));
        settings.put(
                "Rules",
                Map.of("ColdFrom", 0.25, "WarmAfterUs", 1_000_000, "OverloadFactor", 2.0, "FallUs", 1_500_000));
        return settings;
    }

    private List<Map<String, Object>> methods() {
        Map<String, Object> write = method("write", "dedup");
        write.put("Group", "all");
        write.put("WindowUs", IDEMPOTENCY_WINDOW_US);
        return List.of(method("read", "retryable"), write, method("once", "fragile"));
    }

    private Map<String, Object> method(String name, String effect) {
        long deadlineUs = file.load().deadlineMs() * 1_000L;
        Map<String, Object> method = new LinkedHashMap<>();
        method.put("Name", name);
        method.put("AimUs", deadlineUs / 2);
        method.put("GiveUpUs", deadlineUs);
        method.put("Effect", effect);
        return method;
    }

    private Map<String, Object> plan() {
        Load load = file.load();
        Map<String, Object> plan = new LinkedHashMap<>();
        plan.put("Name", "trial");
        plan.put("PerSecond", load.rate());
        plan.put("Burst", load.burst());
        plan.put("CapRate", load.ceilingRate());
        plan.put("CeilingBurst", load.ceilingBurst());
        plan.put("CapSlack", 0);
        return plan;
    }

    private static Map<String, Object> bounds() {
        Map<String, Object> bounds = new LinkedHashMap<>();
        bounds.put("AttemptsCap", 3);
        bounds.put("Cancel", true);
        bounds.put("SecondCopies", false);
        bounds.put("Peers", false);
        bounds.put("RetryAfter", true);
        bounds.put("MaxRetryAfterUs", 500_000);
        bounds.put("DialTimeoutUs", 250_000);
        bounds.put("ConnIdleUs", 15_000_000);
        return bounds;
    }

    /**
     * Writes the fleet file of a front door.
     *
     * @return the written file
     * @throws IOException if the file cannot be written
     */
    Path writeFleetFile(FrontDoor frontDoor) throws IOException {
        Path folder = outputFolder.resolve(frontDoor.name());
        List<String> seeds = file.founders().stream()
                .limit(MAX_SEEDS)
                .map(founder -> "\"" + LOOPBACK + testbed.fleetProxy(founder).port() + "\"")
                .toList();
        List<String> lines = new ArrayList<>(List.of(
                "fleet: trial",
                "operator: " + frontDoor.operator(),
                "operators: [" + String.join(", ", testbed.tiers().keySet()) + "]",
                "site: " + frontDoor.site(),
                "name: " + frontDoor.memberName(),
                "listen: " + LOOPBACK + testbed.fleetPort(frontDoor.name()),
                "advertise: " + LOOPBACK + testbed.fleetProxy(frontDoor.name()).port(),
                "seeds: [" + String.join(", ", seeds) + "]",
                "founders: [" + String.join(", ", file.founders()) + "]",
                "store: " + folder.resolve("store"),
                "log: " + outputFolder.resolve(frontDoor.name() + ".jsonl"),
                "probe_period_ms: " + file.probePeriodMs(),
                "lease_ms: " + file.leaseMs(),
                "placement: " + file.placement()));
        if (file.shards().isUsed()) {
            lines.add("shards: " + file.shards().count());
            lines.add("most_alone_ms: " + file.shards().maxAloneMs());
            lines.add("serves: " + LOOPBACK
                    + testbed.forwardingProxy(frontDoor.name()).port());
            if (file.shards().terms().containsKey(frontDoor.operator())) {
                lines.add("terms: " + TermsFiles.path(outputFolder, frontDoor.operator()));
            }
        }
        Path path = folder.resolve("fleet.yaml");
        Files.writeString(path, String.join("\n", lines) + "\n");
        return path;
    }
}
