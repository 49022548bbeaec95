package hopdrum.rig.trial;

import hopdrum.rig.check.TrialChecker;
import hopdrum.rig.check.TrialReport;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;

/** Plays one trial and says whether all rules were kept: the program behind the script {@code trial}. */
public final class Trial {
    private static final String USAGE = "usage: ./trial FILE [--seed N] [--out DIR]";
    private static final int EXIT_PASSED = 0;
    private static final int EXIT_VIOLATED = 1;
    private static final int EXIT_USAGE = 2;

    /** The arguments; without {@code out}, logs are deleted at the end. */
    private record Arguments(Path file, long seed, Optional<Path> outputFolder) {
        /** Empty if they cannot be used. */
        static Optional<Arguments> parse(String[] args) {
            Path file = null;
            long seed = 1;
            Path outputFolder = null;
            for (int i = 0; i < args.length; i++) {
                if (args[i].equals("--seed") && i + 1 < args.length) {
                    seed = Long.parseLong(args[++i]);
                } else if (args[i].equals("--out") && i + 1 < args.length) {
                    outputFolder = Path.of(args[++i]);
                } else if (file == null && !args[i].startsWith("-")) {
                    file = Path.of(args[i]);
                } else {
                    return Optional.empty();
                }
            }
            return file == null
                    ? Optional.empty()
                    : Optional.of(new Arguments(file, seed, Optional.ofNullable(outputFolder)));
        }
    }

    private Trial() {}

    /**
     * Plays a trial to its verdict. Whatever ends it, its processes are ended too.
     *
     * @param trialFile docs/trials.md describes it
     * @param seed of all that is drawn at random
     * @param outputFolder where all logs go
     * @param home the checkout whose {@code target} the processes are started from
     * @param output takes a line for each measurement, then the verdict's
     * @return whether all rules were kept
     * @throws InvalidTrialFileException if the file cannot be used
     * @throws IOException if a process cannot be started or a file cannot be read or written
     * @throws InterruptedException if the calling thread is interrupted meanwhile
     */
    public static boolean run(Path trialFile, long seed, Path outputFolder, Path home, Consumer<String> output)
            throws IOException, InterruptedException {
        TrialRun run = new TrialRun(TrialFile.read(trialFile, seed), seed, outputFolder, home);
        Thread killer = new Thread(run::killProcesses, "trial-end");
        Runtime.getRuntime().addShutdownHook(killer);
        try (run) {
            run.play();
        } finally {
            Runtime.getRuntime().removeShutdownHook(killer);
        }
        TrialReport report = TrialChecker.check(outputFolder);
        report.measurements().forEach(line -> output.accept("measured: " + line));
        Optional<String> broken = report.firstViolation();
        output.accept(broken.map(violation -> "verdict: broken " + violation).orElse("verdict: kept"));
        return broken.isEmpty();
    }

    /**
     * {@code ./trial FILE [--seed N] [--out DIR]}: exits with 0 if all rules were kept, 1 if one was broken, 2 if the file or
     * the arguments cannot be used.
     *
     * @throws IOException as {@link #run}
     * @throws InterruptedException as {@link #run}
     */
    public static void main(String[] args) throws IOException, InterruptedException {
        Optional<Arguments> arguments = Arguments.parse(args);
        if (arguments.isEmpty()) {
            System.err.println(USAGE);
            System.exit(EXIT_USAGE);
            return;
        }
        System.exit(play(arguments.get()));
    }

    private static int play(Arguments arguments) throws IOException, InterruptedException {
        Path home = Path.of(System.getProperty("trial.home", "")).toAbsolutePath();
        Path folder = arguments.outputFolder.isPresent()
                ? arguments.outputFolder.get()
                : Files.createTempDirectory("hopdrum-trial");
        int code;
        try {
            boolean hasPassed = run(arguments.file, arguments.seed, folder, home, System.out::println);
            code = hasPassed ? EXIT_PASSED : EXIT_VIOLATED;
        } catch (IllegalArgumentException e) {
            System.err.println(e.getMessage());
            code = EXIT_USAGE;
        }
        if (arguments.outputFolder.isEmpty()) {
            delete(folder);
        }
        return code;
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> paths = Files.walk(folder)) {
            for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        }
    }
}
