package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.locks.LockSupport;

/**
 * What all cases share: the record, the front door's process, and the exit code. A case is run from the repository's
 * root with the folder of the case as its only argument; {@code TROUBLE=0} leaves the disruption out.
 */
final class Rig {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    /** Whether the disruption is played. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private static final double LONGEST_RUN = 110; // seconds

    private static final long START_NANOS = System.nanoTime();
    private static final List<FrontDoor> FRONT_DOORS = new ArrayList<>();
    private static PrintWriter record;
    private static volatile Path temporary;

    private Rig() {}

    /** The body of a case; returns whether the rule held. */
    interface Case {
        boolean run(Path temporary) throws Exception;
    }

    /**
     * Runs a case and ends this process with its exit code. All processes that it started end before. Whatever goes
     * wrong in the case itself is no broken rule.
     */
    static void run(String folder, Case body) {
        thread("watchdog", () -> {
            sleep(LONGEST_RUN);
            note("could not run: not over after " + LONGEST_RUN + " s");
            end(folder, COULD_NOT_RUN);
        });
        Runtime.getRuntime().addShutdownHook(new Thread(Rig::cleanUp));
        int exitCode = COULD_NOT_RUN;
        try {
            record = new PrintWriter(Files.newBufferedWriter(Path.of(folder, "record.txt")), true);
            note("disruption: " + (TROUBLE ? "on" : "off (TROUBLE=0)"));
            temporary = Files.createTempDirectory("review");
            exitCode = body.run(temporary) ? HELD : BROKEN;
        } catch (Throwable e) {
            note("could not run: " + e);
            e.printStackTrace();
        }
        end(folder, exitCode);
    }

    private static synchronized void end(String folder, int exitCode) {
        cleanUp();
        String verdict = exitCode == HELD ? "the rule held" : exitCode == BROKEN ? "THE RULE WAS BROKEN" : "not run";
        note(verdict);
        System.out.println(folder + ": " + verdict);
        Runtime.getRuntime().halt(exitCode);
    }

    /** Ends all front doors and removes the temporary folder; also run if this process is told to end. */
    private static synchronized void cleanUp() {
        FRONT_DOORS.forEach(FrontDoor::kill);
        FRONT_DOORS.clear();
        if (temporary != null) {
            try (var files = Files.walk(temporary)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
                temporary = null;
            } catch (IOException e) {
                note("the temporary folder stays: " + e);
            }
        }
    }

    /** Writes a line with the seconds since the start into the record. */
    static synchronized void note(String line) {
        if (record == null) {
            return;
        }
        record.println(String.format(Locale.ROOT, "%9.4f  %s", seconds(), line));
    }

    static double seconds() {
        return (System.nanoTime() - START_NANOS) / 1e9;
    }

    /** Sleeps to within some tens of microseconds; {@code Thread.sleep} rounds to milliseconds. */
    static void sleep(double seconds) {
        long until = System.nanoTime() + (long) (seconds * 1e9);
        for (long left = until - System.nanoTime(); left > 0; left = until - System.nanoTime()) {
            LockSupport.parkNanos(left);
            if (Thread.currentThread().isInterrupted()) {
                return;
            }
        }
    }

    static Thread thread(String name, Runnable body) {
        Thread thread = new Thread(body, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static synchronized void started(FrontDoor frontDoor) {
        FRONT_DOORS.add(frontDoor);
    }
}
