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

/** Plays one trial and reports whether all rules were kept; the main class behind the script {@code trial}. */
public final class Trial {
    private static final String USAGE = "usage: ./trial FILE [--seed N] [--out DIR]";
    private static final int EXIT_PASSED = 0;
    private static final int EXIT_VIOLATED = 1;
    private static final int EXIT_USAGE = 2;

    /** The command line's arguments; without an output folder, the logs are deleted at the end. */
    private record Arguments(Path file, long seed, Optional<Path> outputFolder) {
        /** Parses a command line; empty if it has an unknown option or not exactly one trial file. */
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
     * Plays a trial and checks its logs. The trial's processes are ended in any case, also if the trial fails.
     *
     * @param trialFile the trial file, as docs/trials.md describes it
     * @param seed the seed of everything that is drawn at random
     * @param outputFolder the folder for all logs
     * @param home the checkout whose {@code target} folder has the program to start
     * @param output receives one line for each measurement, then the line of the verdict
     * @return whether all rules were kept
     * @throws InvalidTrialFileException if the file cannot be used
     * @throws IOException if a process cannot be started or a file cannot be read or written
     * @throws InterruptedException if the calling thread is interrupted during the trial
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
        Optional<String> firstViolation = report.firstViolation();
        output.accept(
                firstViolation.map(violation -> "verdict: broken " + violation).orElse("verdict: kept"));
        return firstViolation.isEmpty();
    }

    /**
     * Runs {@code ./trial FILE [--seed N] [--out DIR]}. The exit code is 0 if all rules were kept, 1 if a rule was
     * broken, and 2 if the file or the arguments cannot be used.
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
