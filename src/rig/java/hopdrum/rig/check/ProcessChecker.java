package hopdrum.rig.check;

import java.util.HashSet;
import java.util.Set;

/** Rule "process": SIGTERM ends a process by itself and as a success; no other ends; none logs a fault of its own. */
final class ProcessChecker {
    private static final String RULE = "process";

    private final TrialLogs logs;
    private final TrialReport report;
    private final Set<String> terminated = new HashSet<>(); // doors that had SIGTERM since their start
    private final Set<String> killed = new HashSet<>(); // doors that had SIGKILL since their start

    ProcessChecker(TrialLogs logs, TrialReport report) {
        this.logs = logs;
        this.report = report;
    }

    void check() {
        logs.rig().forEach(this::checkExit);
        logs.doors()
                .forEach((door, log) -> log.stream()
                        .filter(entry -> entry.is("fault"))
                        .forEach(entry ->
                                report.violation(RULE, entry.atUs(), door + " logged a fault: " + entry.text("why"))));
    }

    private void checkExit(LogEntry entry) {
        String door = entry.text("door");
        if (entry.is("started")) {
            terminated.remove(door);
            killed.remove(door);
        } else if (entry.is("term")) {
            terminated.add(door);
        } else if (entry.is("killed") || (entry.is("step") && entry.text("do").equals("kill"))) {
            entry.field("who").forEach(target -> killed.add(target.asText()));
            killed.add(door);
        } else if (entry.is("ended") && (!entry.field("by_itself").asBoolean() || exitCode(entry) != 0)) {
            report.violation(RULE, entry.atUs(), door + " did not end by itself as a success, code " + exitCode(entry));
        } else if (entry.is("exited") && !terminated.contains(door) && !killed.contains(door)) {
            report.violation(RULE, entry.atUs(), door + " ended with code " + exitCode(entry) + ", told by nobody");
        }
    }

    private static int exitCode(LogEntry entry) {
        return entry.field("code").asInt();
    }
}
