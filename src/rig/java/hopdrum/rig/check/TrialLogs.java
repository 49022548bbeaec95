package hopdrum.rig.check;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The contents of all logs of one trial.
 *
 * @param setup the settings of the trial as the rig logged them
 * @param beginUs when the time of the trial's steps began
 * @param endUs when the trial ended and all processes were asked to end; {@link Long#MAX_VALUE} if that was not logged
 * @param rigLog the entries that the rig logged
 * @param frontDoorLogs by front door, the entries that its processes logged
 * @param requests all requests, in the order in which they ended
 * @param executions all executions at backends, in the order in which they were logged
 * @param processes the runs of each front door's process
 */
record TrialLogs(
        TrialSetup setup,
        long beginUs,
        long endUs,
        List<LogEntry> rigLog,
        Map<String, List<LogEntry>> frontDoorLogs,
        List<RequestOutcome> requests,
        List<Execution> executions,
        ProcessHistory processes) {

    static TrialLogs read(Path folder) throws IOException {
        List<LogEntry> rigLog = LogEntry.readAll(folder.resolve("rig.jsonl"));
        LogEntry trialEntry = rigLog.stream()
                .filter(entry -> entry.hasEvent("trial"))
                .findFirst()
                .orElseThrow(() -> new IOException("no trial event in the log of the rig in " + folder));
        TrialSetup setup = TrialSetup.of(trialEntry.fields());
        Map<String, List<LogEntry>> frontDoorLogs = new TreeMap<>();
        for (String frontDoor : setup.operatorByFrontDoor().keySet()) {
            Path log = folder.resolve(frontDoor + ".jsonl");
            frontDoorLogs.put(frontDoor, Files.exists(log) ? LogEntry.readAll(log) : List.of());
        }
        return new TrialLogs(
                setup,
                firstTimeUs(rigLog, "begin", trialEntry.atUs()),
                firstTimeUs(rigLog, "end", Long.MAX_VALUE),
                rigLog,
                frontDoorLogs,
                rigLog.stream()
                        .filter(entry -> entry.hasEvent("rpc"))
                        .map(RequestOutcome::of)
                        .toList(),
                rigLog.stream()
                        .filter(entry -> entry.hasEvent("ran"))
                        .map(Execution::of)
                        .toList(),
                new ProcessHistory(rigLog));
    }

    private static long firstTimeUs(List<LogEntry> rigLog, String event, long defaultUs) {
        return rigLog.stream()
                .filter(entry -> entry.hasEvent(event))
                .mapToLong(LogEntry::atUs)
                .findFirst()
                .orElse(defaultUs);
    }
}
