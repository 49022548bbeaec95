package hopdrum.rig.check;

import java.util.HashSet;
import java.util.Set;

/**
 * Checks the rule "process": a process that gets SIGTERM exits by itself with code 0, no process exits without a
 * signal, and no process logs an internal fault.
 */
final class ProcessChecker {
    private static final String RULE = "process";

    private final TrialLogs logs;
    private final TrialReport report;
    private final Set<String> terminated = new HashSet<>(); // front doors that got SIGTERM since their start
    private final Set<String> killed = new HashSet<>(); // front doors that got SIGKILL since their start

    ProcessChecker(TrialLogs logs, TrialReport report) {
        this.logs = logs;
        this.report = report;
    }

    void check() {
        logs.rigLog().forEach(this::checkExit);
        logs.frontDoorLogs()
                .forEach((frontDoor, log) -> log.stream()
                        .filter(entry -> entry.hasEvent("fault"))
                        .forEach(entry -> report.addViolation(
                                RULE, entry.atUs(), frontDoor + " logged a fault: " + entry.text("why"))));
    }

    private void checkExit(LogEntry entry) {
        String frontDoor = entry.text("door");
        if (entry.hasEvent("started")) {
            terminated.remove(frontDoor);
            killed.remove(frontDoor);
        } else if (entry.hasEvent("term")) {
            terminated.add(frontDoor);
        } else if (entry.hasEvent("killed")
                || (entry.hasEvent("step") && entry.text("do").equals("kill"))) {
            entry.field("who").forEach(target -> killed.add(target.asText()));
            killed.add(frontDoor);
        } else if (entry.hasEvent("ended") && (!entry.field("by_itself").asBoolean() || exitCode(entry) != 0)) {
            report.addViolation(
                    RULE,
                    entry.atUs(),
                    frontDoor + " did not exit by itself with code 0 after SIGTERM, exit code " + exitCode(entry));
        } else if (entry.hasEvent("exited") && !terminated.contains(frontDoor) && !killed.contains(frontDoor)) {
            report.addViolation(
                    RULE, entry.atUs(), frontDoor + " exited with code " + exitCode(entry) + " without a signal");
        }
    }

    private static int exitCode(LogEntry entry) {
        return entry.field("code").asInt();
    }
}
