package hopdrum.rig.soak;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** Plays soaks: {@code ./soak FIRST_SEED LAST_SEED [PARALLEL]}. Exits with 1 if a rule was broken. */
public final class Soak {
    /** The end of the line of a soak in which all rules were kept. */
    public static final String KEPT = "kept";

    private static final int DEFAULT_PARALLEL = 2;

    private Soak() {}

    /**
     * Plays the soaks of a range of seeds.
     *
     * @param args the first seed, the last seed, and how many soaks are played at once
     */
    public static void main(String[] args) throws Exception {
        long first = Long.parseLong(args[0]);
        long last = args.length > 1 ? Long.parseLong(args[1]) : first;
        int parallel = args.length > 2 ? Integer.parseInt(args[2]) : DEFAULT_PARALLEL;
        Path folder = Files.createTempDirectory("soak");
        List<String> results = play(Path.of(System.getProperty("soak.home", "")), folder, first, last, parallel);
        long kept = results.stream().filter(result -> result.endsWith(KEPT)).count();
        System.out.println(kept + " of " + results.size() + " seeds kept all rules; logs in " + folder);
        System.exit(kept == results.size() ? 0 : 1);
    }

    /**
     * Plays the soaks of a range of seeds and prints each result.
     *
     * @param home the project's root, which has the built jar
     * @param folder where each seed gets a folder for its configuration and log
     * @param parallel how many soaks are played at once
     * @return the results, in the order of the seeds
     */
    public static List<String> play(Path home, Path folder, long first, long last, int parallel) throws Exception {
        SyscallShim shim = SyscallShim.compile(home.toAbsolutePath(), folder);
        ExecutorService pool = Executors.newFixedThreadPool(parallel);
        List<Future<String>> results = new ArrayList<>();
        for (long seed = first; seed <= last; seed++) {
            SoakPlan plan = SoakPlan.of(seed);
            Path seedFolder = folder.resolve("seed-" + seed);
            results.add(pool.submit(() -> new SoakRun(plan, home.toAbsolutePath(), seedFolder, shim).play()));
        }
        pool.shutdown();
        List<String> lines = new ArrayList<>();
        for (Future<String> result : results) {
            lines.add(result.get());
            System.out.println(lines.get(lines.size() - 1));
        }
        return lines;
    }
}
