package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
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

    private Rig() {}

    /** The body of a case; returns whether the rule held. */
    interface Case {
        boolean run(Path temporary) throws Exception;
    }

    /** Runs a case and ends this process with its exit code. All processes that it started end before. */
    static void run(String folder, Case body) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(folder, "record.txt")), true);
        Path temporary = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(Rig::killAll));
        thread("watchdog", () -> {
            sleep(LONGEST_RUN);
            note("could not run: not over after " + LONGEST_RUN + " s");
            killAll();
            Runtime.getRuntime().halt(COULD_NOT_RUN);
        });
        int exitCode = COULD_NOT_RUN;
        try {
            note("disruption: " + (TROUBLE ? "on" : "off (TROUBLE=0)"));
            exitCode = body.run(temporary) ? HELD : BROKEN;
        } catch (Exception e) {
            note("could not run: " + e);
            e.printStackTrace();
        }
        killAll();
        deleteAll(temporary);
        note(exitCode == HELD ? "the rule held" : exitCode == BROKEN ? "THE RULE WAS BROKEN" : "the case did not run");
        System.out.println((exitCode == HELD ? "held" : exitCode == BROKEN ? "broken" : "not run") + ", see " + folder
                + "/record.txt");
        Runtime.getRuntime().halt(exitCode);
    }

    /** Writes a line with the seconds since the start into the record. */
    static synchronized void note(String line) {
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

    private static void killAll() {
        List<FrontDoor> all;
        synchronized (Rig.class) {
            all = List.copyOf(FRONT_DOORS);
        }
        all.forEach(FrontDoor::kill);
    }

    private static void deleteAll(Path folder) throws IOException {
        try (var files = Files.walk(folder)) {
            for (Path file : files.sorted((a, b) -> b.compareTo(a)).toList()) {
                Files.delete(file);
            }
        }
    }
}
