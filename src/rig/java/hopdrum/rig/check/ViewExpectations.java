package hopdrum.rig.check;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Checks the rules "settled", "says", "unchanged" and "dropped": what a trial expects of views. */
final class ViewExpectations {
    private final TrialLogs logs;
    private final TrialReport report;

    ViewExpectations(TrialLogs logs, TrialReport report) {
        this.logs = logs;
        this.report = report;
    }

    /**
     * Rule "settled": at some time before the deadline, all front doors have the same view; if required, the members of
     * the view are exactly these front doors. Measures how long this took.
     */
    void checkSettled(Expectation expectation, boolean requiresSameMembers) {
        Set<String> frontDoors = expectation.frontDoors();
        TreeSet<Long> timesUs = new TreeSet<>();
        timesUs.add(expectation.atUs());
        frontDoors.forEach(frontDoor -> logs.frontDoorLogs().get(frontDoor).stream()
                .filter(entry -> entry.hasEvent("view") && entry.isWithin(expectation.atUs(), expectation.deadlineUs()))
                .forEach(entry -> timesUs.add(entry.atUs())));
        for (long timeUs : timesUs) {
            if (describeDisagreement(frontDoors, timeUs, requiresSameMembers) == null) {
                double periods =
                        (timeUs - expectation.atUs()) / (double) logs.setup().probePeriodUs();
                report.addMeasurement(String.format(
                        Locale.ROOT,
                        "settled %.1f periods after %s: %s",
                        periods,
                        report.formatTime(expectation.atUs()),
                        String.join(" ", frontDoors)));
                return;
            }
        }
        report.addViolation(
                "settled",
                expectation.deadlineUs(),
                "the front doors do not have the same view: "
                        + describeDisagreement(frontDoors, expectation.deadlineUs(), requiresSameMembers));
    }

    /** Describes why front doors do not have the same view at a time; null if they have. */
    private String describeDisagreement(Set<String> frontDoors, long atUs, boolean requiresSameMembers) {
        Version first = null;
        for (String frontDoor : frontDoors) {
            LogEntry view = latestViewAt(frontDoor, atUs);
            if (view == null || !logs.processes().isRunning(frontDoor, atUs)) {
                return frontDoor + " has no view or is not running";
            }
            if (first != null && !first.equals(view.version())) {
                return frontDoor + " has " + view.version() + ", others " + first;
            }
            first = view.version();
            if (requiresSameMembers && !view.members().equals(frontDoors)) {
                return frontDoor + "'s view " + first + " contains " + view.members();
            }
            if (requiresSameMembers && view.field("members").path(frontDoor).asLong() != view.number("start")) {
                return frontDoor + "'s view contains another incarnation of it";
            }
        }
        return null;
    }

    /**
     * Returns the latest view that a front door's current process has logged; null if there is none. A view of an
     * earlier process of the front door does not count.
     */
    private LogEntry latestViewAt(String frontDoor, long atUs) {
        long fromUs = logs.processes().latestStartUs(frontDoor, atUs);
        LogEntry latest = null;
        for (LogEntry entry : logs.frontDoorLogs().get(frontDoor)) {
            if (entry.hasEvent("view") && entry.isWithin(fromUs, atUs)) {
                latest = entry;
            }
        }
        return latest;
    }

    /** Rule "says": before the deadline, each front door logs the event. */
    void checkLogged(Expectation expectation, String event, String description) {
        for (String frontDoor : expectation.frontDoors()) {
            if (logs.frontDoorLogs().get(frontDoor).stream()
                    .noneMatch(entry ->
                            entry.hasEvent(event) && entry.isWithin(expectation.atUs(), expectation.deadlineUs()))) {
                report.addViolation(
                        "says", expectation.deadlineUs(), frontDoor + " did not log that it is " + description);
            }
        }
    }

    /**
     * Rule "unchanged": no new view is settled within the period. A front door that learns a view which another front
     * door already had does not count as a change.
     */
    void checkUnchanged(Expectation expectation) {
        Map<Version, LogEntry> firstByVersion = new HashMap<>();
        logs.frontDoorLogs()
                .values()
                .forEach(log -> log.stream()
                        .filter(entry -> entry.hasEvent("view"))
                        .forEach(entry -> firstByVersion.merge(entry.version(), entry, LogEntry::earlier)));
        firstByVersion.values().stream()
                .filter(view -> isWithinPeriod(view, expectation))
                .min(Comparator.comparingLong(LogEntry::atUs))
                .ifPresent(view -> report.addViolation(
                        "unchanged",
                        view.atUs(),
                        view.text("name") + " has a new view " + view.version() + " of "
                                + view.field("members").size()));
    }

    /** Rule "dropped": every view that is logged within the period contains each of the front doors. */
    void checkNotDropped(Expectation expectation) {
        for (List<LogEntry> log : logs.frontDoorLogs().values()) {
            for (LogEntry view : log) {
                if (!view.hasEvent("view") || !isWithinPeriod(view, expectation)) {
                    continue;
                }
                for (String frontDoor : expectation.frontDoors()) {
                    if (!view.field("members").has(frontDoor)) {
                        report.addViolation("dropped", view.atUs(), frontDoor + " is not in " + view.version());
                        return;
                    }
                }
            }
        }
    }

    private static boolean isWithinPeriod(LogEntry view, Expectation expectation) {
        return view.atUs() > expectation.atUs() && view.atUs() < expectation.periodEndUs();
    }
}
