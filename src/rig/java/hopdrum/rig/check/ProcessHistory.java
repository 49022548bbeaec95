package hopdrum.rig.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** When the process of each door ran, was paused and was asked to end, as the rig recorded it. */
final class ProcessHistory {
    private static final long STILL_RUNNING = Long.MAX_VALUE;

    /** New connections arrive for so long after SIGTERM, as the platform's own clients do. */
    private static final long DRAIN_GRACE_US = 400_000;

    /** One run of a door's process; the end is not included. */
    record Run(String door, long fromUs, long untilUs) {
        boolean covers(String wanted, long atUs) {
            return door.equals(wanted) && fromUs <= atUs && atUs < untilUs;
        }
    }

    private final List<Run> runs = new ArrayList<>();
    private final List<LogEntry> signals;
    private final List<LogEntry> startsAndTerms;

    ProcessHistory(List<LogEntry> rig) {
        signals = rig.stream().filter(entry -> entry.is("signal")).toList();
        startsAndTerms = rig.stream()
                .filter(entry -> entry.is("started") || entry.is("term"))
                .toList();
        Map<String, Integer> current = new HashMap<>(); // by door: the index of its latest run
        for (LogEntry entry : rig) {
            String door = entry.text("door");
            if (entry.is("started")) {
                current.put(door, runs.size());
                runs.add(new Run(door, entry.atUs(), STILL_RUNNING));
            } else if (entry.is("killed") || entry.is("exited") || entry.is("ended")) {
                Integer index = current.get(door);
                if (index != null && runs.get(index).untilUs == STILL_RUNNING) {
                    runs.set(index, new Run(door, runs.get(index).fromUs, entry.atUs()));
                }
            }
        }
    }

    /** The run of a door's process at a moment. */
    Optional<Run> runAt(String door, long atUs) {
        return runs.stream().filter(run -> run.covers(door, atUs)).findFirst();
    }

    boolean isRunning(String door, long atUs) {
        return runAt(door, atUs).isPresent();
    }

    /** Whether one process of a door ran all this time. */
    boolean isRunningThroughout(String door, long fromUs, long untilUs) {
        return runs.stream().anyMatch(run -> run.door.equals(door) && run.fromUs <= fromUs && untilUs < run.untilUs);
    }

    /** When the latest process of a door started, at this moment or before; 0 if none has. */
    long latestStartUs(String door, long atUs) {
        return runs.stream()
                .filter(run -> run.door.equals(door) && run.fromUs <= atUs)
                .mapToLong(Run::fromUs)
                .max()
                .orElse(0);
    }

    /** Whether a door's process was stopped by SIGSTOP at any moment of this time. */
    boolean isPausedWithin(String door, long fromUs, long untilUs) {
        long sinceUs = Long.MAX_VALUE;
        for (LogEntry signal : signals) {
            if (!signal.text("door").equals(door)) {
                continue;
            }
            if (signal.text("which").equals("STOP")) {
                sinceUs = signal.atUs();
            } else if (sinceUs <= untilUs && signal.atUs() >= fromUs) {
                return true;
            } else {
                sinceUs = Long.MAX_VALUE;
            }
        }
        return sinceUs <= untilUs;
    }

    /** Whether a door had had SIGTERM for so long at this moment that it need not accept new connections. */
    boolean isDrained(String door, long atUs) {
        long termUs = Long.MAX_VALUE;
        for (LogEntry entry : startsAndTerms) {
            if (entry.text("door").equals(door) && entry.atUs() <= atUs) {
                termUs = entry.is("term") ? entry.atUs() : Long.MAX_VALUE;
            }
        }
        return termUs != Long.MAX_VALUE && atUs > termUs + DRAIN_GRACE_US;
    }
}
