package hopdrum.rig.check;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Rules "settled", "says", "unchanged" and "dropped": what a trial expects of views. */
final class ViewExpectations {
    private final TrialLogs logs;
    private final TrialReport report;

    ViewExpectations(TrialLogs logs, TrialReport report) {
        this.logs = logs;
        this.report = report;
    }

    /** "settled": at some moment before the limit all doors have one view; where that is asked, of exactly them. */
    void checkSettled(Expectation expectation, boolean exactly) {
        Set<String> doors = expectation.doors();
        TreeSet<Long> moments = new TreeSet<>();
        moments.add(expectation.atUs());
        doors.forEach(door -> logs.doors().get(door).stream()
                .filter(entry -> entry.is("view") && entry.isWithin(expectation.atUs(), expectation.withinUs()))
                .forEach(entry -> moments.add(entry.atUs())));
        for (long momentUs : moments) {
            if (disagreement(doors, momentUs, exactly) == null) {
                double periods =
                        (momentUs - expectation.atUs()) / (double) logs.setup().periodUs();
                report.measure(String.format(
                        Locale.ROOT,
                        "settled %.1f periods after %s: %s",
                        periods,
                        report.seconds(expectation.atUs()),
                        String.join(" ", doors)));
                return;
            }
        }
        report.violation(
                "settled",
                expectation.withinUs(),
                "not one view: " + disagreement(doors, expectation.withinUs(), exactly));
    }

    /** Why these doors do not have one view at a moment; null if they have. */
    private String disagreement(Set<String> doors, long atUs, boolean exactly) {
        Version first = null;
        for (String door : doors) {
            LogEntry view = viewAt(door, atUs);
            if (view == null || !logs.processes().isRunning(door, atUs)) {
                return door + " has none";
            }
            if (first != null && !first.equals(view.version())) {
                return door + " has " + view.version() + ", others " + first;
            }
            first = view.version();
            if (exactly && !view.members().equals(doors)) {
                return door + "'s view " + first + " holds " + view.members();
            }
            if (exactly && view.field("members").path(door).asLong() != view.number("start")) {
                return door + "'s view holds another start of it";
            }
        }
        return null;
    }

    /** The latest view of the door's current process; one of an earlier process under its name does not count. */
    private LogEntry viewAt(String door, long atUs) {
        long fromUs = logs.processes().latestStartUs(door, atUs);
        LogEntry latest = null;
        for (LogEntry entry : logs.doors().get(door)) {
            if (entry.is("view") && entry.isWithin(fromUs, atUs)) {
                latest = entry;
            }
        }
        return latest;
    }

    /** "says": within the limit each door logs this event. */
    void checkLogged(Expectation expectation, String event, String description) {
        for (String door : expectation.doors()) {
            if (logs.doors().get(door).stream()
                    .noneMatch(
                            entry -> entry.is(event) && entry.isWithin(expectation.atUs(), expectation.withinUs()))) {
                report.violation("says", expectation.withinUs(), door + " did not say that it is " + description);
            }
        }
    }

    /** "unchanged": no view is settled for so long; a door that learns a view that others had is no change. */
    void checkUnchanged(Expectation expectation) {
        Map<Version, LogEntry> first = new HashMap<>();
        logs.doors()
                .values()
                .forEach(log -> log.stream()
                        .filter(entry -> entry.is("view"))
                        .forEach(entry -> first.merge(entry.version(), entry, LogEntry::earlier)));
        first.values().stream()
                .filter(view -> isDuring(view, expectation))
                .min(Comparator.comparingLong(LogEntry::atUs))
                .ifPresent(view -> report.violation(
                        "unchanged",
                        view.atUs(),
                        view.text("name") + " has a new view " + view.version() + " of "
                                + view.field("members").size()));
    }

    /** "dropped": no view that is settled meanwhile lacks any of these doors. */
    void checkNotDropped(Expectation expectation) {
        for (List<LogEntry> log : logs.doors().values()) {
            for (LogEntry view : log) {
                if (!view.is("view") || !isDuring(view, expectation)) {
                    continue;
                }
                for (String door : expectation.doors()) {
                    if (!view.field("members").has(door)) {
                        report.violation("dropped", view.atUs(), door + " is not in " + view.version());
                        return;
                    }
                }
            }
        }
    }

    private static boolean isDuring(LogEntry view, Expectation expectation) {
        return view.atUs() > expectation.atUs() && view.atUs() < expectation.untilUs();
    }
}
