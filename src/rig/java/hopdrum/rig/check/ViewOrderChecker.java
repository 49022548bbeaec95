package hopdrum.rig.check;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks the rules "one-view" (an era and number never identify two different views), "order" (the versions of the
 * views that one incarnation of a front door logs never decrease) and "start" (the incarnation numbers of a front door
 * increase).
 */
final class ViewOrderChecker {
    private static final Version NO_VIEW = new Version(0, 0);

    private final TrialLogs logs;
    private final TrialReport report;
    private final Map<Version, JsonNode> membersByVersion = new HashMap<>(); // as first logged

    ViewOrderChecker(TrialLogs logs, TrialReport report) {
        this.logs = logs;
        this.report = report;
    }

    void check() {
        logs.frontDoorLogs().forEach(this::check);
    }

    private void check(String frontDoor, List<LogEntry> log) {
        Version latest = NO_VIEW;
        long start = 0;
        for (LogEntry entry : log) {
            if (entry.hasEvent("starts")) {
                if (entry.number("start") <= start) {
                    report.addViolation(
                            "start",
                            entry.atUs(),
                            frontDoor + " starts as " + entry.field("start") + " after " + start);
                }
                start = entry.number("start");
                latest = NO_VIEW;
            } else if (entry.hasEvent("view")) {
                checkMembers(frontDoor, entry);
                if (entry.version().compareTo(latest) < 0) {
                    report.addViolation(
                            "order", entry.atUs(), frontDoor + " went back from " + latest + " to " + entry.version());
                }
                latest = entry.version();
            }
        }
    }

    private void checkMembers(String frontDoor, LogEntry view) {
        JsonNode firstMembers = membersByVersion.putIfAbsent(view.version(), view.field("members"));
        if (firstMembers != null && !firstMembers.equals(view.field("members"))) {
            report.addViolation(
                    "one-view",
                    view.atUs(),
                    frontDoor + ": " + view.version() + " is " + view.field("members") + " and " + firstMembers);
        }
    }
}
