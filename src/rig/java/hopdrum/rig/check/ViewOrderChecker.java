package hopdrum.rig.check;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Rules "one-view" (no era and number name two views), "order" (the numbers that one incarnation of a process logs never
 * fall) and "start" (the incarnations of one name grow).
 */
final class ViewOrderChecker {
    private static final Version NO_VIEW = new Version(0, 0);

    private final TrialLogs logs;
    private final TrialReport report;
    private final Map<Version, JsonNode> members = new HashMap<>(); // as they were logged first

    ViewOrderChecker(TrialLogs logs, TrialReport report) {
        this.logs = logs;
        this.report = report;
    }

    void check() {
        logs.doors().forEach(this::check);
    }

    private void check(String door, List<LogEntry> log) {
        Version latest = NO_VIEW;
        long start = 0;
        for (LogEntry entry : log) {
            if (entry.is("starts")) {
                if (entry.number("start") <= start) {
                    report.violation(
                            "start", entry.atUs(), door + " starts as " + entry.field("start") + " after " + start);
                }
                start = entry.number("start");
                latest = NO_VIEW;
            } else if (entry.is("view")) {
                checkMembers(door, entry);
                if (entry.version().compareTo(latest) < 0) {
                    report.violation(
                            "order", entry.atUs(), door + " went back from " + latest + " to " + entry.version());
                }
                latest = entry.version();
            }
        }
    }

    private void checkMembers(String door, LogEntry view) {
        JsonNode before = members.putIfAbsent(view.version(), view.field("members"));
        if (before != null && !before.equals(view.field("members"))) {
            report.violation(
                    "one-view",
                    view.atUs(),
                    door + ": " + view.version() + " is " + view.field("members") + " and " + before);
        }
    }
}
