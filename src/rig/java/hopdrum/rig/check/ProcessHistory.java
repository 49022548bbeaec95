package hopdrum.rig.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Records when the process of each front door ran, was paused and got SIGTERM, as the rig logged it. */
final class ProcessHistory {
    private static final long STILL_RUNNING = Long.MAX_VALUE;

    /** The platform's own clients still open connections for this time after SIGTERM. */
    private static final long ACCEPT_AFTER_SIGTERM_US = 400_000;

    /** One run of a front door's process; the end is exclusive. */
    record Run(String frontDoor, long fromUs, long untilUs) {
        boolean covers(String name, long atUs) {
            return frontDoor.equals(name) && fromUs <= atUs && atUs < untilUs;
        }
    }

    private final List<Run> runs = new ArrayList<>();
    private final List<LogEntry> signals;
    private final List<LogEntry> startsAndTerminations;

    ProcessHistory(List<LogEntry> rigLog) {
        signals = rigLog.stream().filter(entry -> entry.hasEvent("signal")).toList();
        startsAndTerminations = rigLog.stream()
                .filter(entry -> entry.hasEvent("started") || entry.hasEvent("term"))
                .toList();
        Map<String, Integer> latestRunIndex = new HashMap<>(); // by front door
        for (LogEntry entry : rigLog) {
            String frontDoor = entry.text("door");
            if (entry.hasEvent("started")) {
                latestRunIndex.put(frontDoor, runs.size());
                runs.add(new Run(frontDoor, entry.atUs(), STILL_RUNNING));
            } else if (entry.hasEvent("killed") || entry.hasEvent("exited") || entry.hasEvent("ended")) {
                Integer index = latestRunIndex.get(frontDoor);
                if (index != null && runs.get(index).untilUs == STILL_RUNNING) {
                    runs.set(index, new Run(frontDoor, runs.get(index).fromUs, entry.atUs()));
                }
            }
        }
    }

    /** Returns the run of a front door's process at a time; empty if the front door was not running. */
    Optional<Run> runAt(String frontDoor, long atUs) {
        return runs.stream().filter(run -> run.covers(frontDoor, atUs)).findFirst();
    }

    boolean isRunning(String frontDoor, long atUs) {
        return runAt(frontDoor, atUs).isPresent();
    }

    /** Whether one process of a front door ran from {@code fromUs} through {@code untilUs}. */
    boolean isRunningThroughout(String frontDoor, long fromUs, long untilUs) {
        return runs.stream()
                .anyMatch(run -> run.frontDoor.equals(frontDoor) && run.fromUs <= fromUs && untilUs < run.untilUs);
    }

    /** Returns the latest start of a front door's process at or before a time; 0 if there is none. */
    long latestStartUs(String frontDoor, long atUs) {
        return runs.stream()
                .filter(run -> run.frontDoor.equals(frontDoor) && run.fromUs <= atUs)
                .mapToLong(Run::fromUs)
                .max()
                .orElse(0);
    }

    /** Whether a front door's process was paused by SIGSTOP at any time between two times. */
    boolean isPausedWithin(String frontDoor, long fromUs, long untilUs) {
        long pausedSinceUs = Long.MAX_VALUE;
        for (LogEntry signal : signals) {
            if (!signal.text("door").equals(frontDoor)) {
                continue;
            }
            if (signal.text("which").equals("STOP")) {
                pausedSinceUs = signal.atUs();
            } else if (pausedSinceUs <= untilUs && signal.atUs() >= fromUs) {
                return true;
            } else {
                pausedSinceUs = Long.MAX_VALUE;
            }
        }
        return pausedSinceUs <= untilUs;
    }

    /**
     * Whether a front door got SIGTERM so long before a time that it may refuse new connections: more than 400 ms, in
     * which clients may still connect.
     */
    boolean mayRefuseConnections(String frontDoor, long atUs) {
        long sigtermUs = Long.MAX_VALUE;
        for (LogEntry entry : startsAndTerminations) {
            if (entry.text("door").equals(frontDoor) && entry.atUs() <= atUs) {
                sigtermUs = entry.hasEvent("term") ? entry.atUs() : Long.MAX_VALUE;
            }
        }
        return sigtermUs != Long.MAX_VALUE && atUs > sigtermUs + ACCEPT_AFTER_SIGTERM_US;
    }
}
