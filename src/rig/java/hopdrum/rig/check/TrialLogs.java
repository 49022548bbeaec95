package hopdrum.rig.check;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * All logs of one trial.
 *
 * @param setup the trial as the rig described it
 * @param beginUs when the trial's own time began
 * @param endUs when the trial ended and all processes were asked to; {@link Long#MAX_VALUE} if that was not logged
 * @param rig what the rig recorded
 * @param doors by door: what its processes logged
 * @param rpcs all RPCs, in the order in which they ended
 * @param executions all executions at backends, in their order
 * @param processes when each process ran
 */
record TrialLogs(
        TrialSetup setup,
        long beginUs,
        long endUs,
        List<LogEntry> rig,
        Map<String, List<LogEntry>> doors,
        List<RpcOutcome> rpcs,
        List<Execution> executions,
        ProcessHistory processes) {

    static TrialLogs read(Path folder) throws IOException {
        List<LogEntry> rig = LogEntry.readAll(folder.resolve("rig.jsonl"));
        LogEntry trial = rig.stream()
                .filter(entry -> entry.is("trial"))
                .findFirst()
                .orElseThrow(() -> new IOException("no trial in " + folder));
        TrialSetup setup = TrialSetup.of(trial.fields());
        Map<String, List<LogEntry>> doors = new TreeMap<>();
        for (String door : setup.operators().keySet()) {
            Path log = folder.resolve(door + ".jsonl");
            doors.put(door, Files.exists(log) ? LogEntry.readAll(log) : List.of());
        }
        return new TrialLogs(
                setup,
                firstAt(rig, "begin", trial.atUs()),
                firstAt(rig, "end", Long.MAX_VALUE),
                rig,
                doors,
                rig.stream()
                        .filter(entry -> entry.is("rpc"))
                        .map(RpcOutcome::of)
                        .toList(),
                rig.stream().filter(entry -> entry.is("ran")).map(Execution::of).toList(),
                new ProcessHistory(rig));
    }

    private static long firstAt(List<LogEntry> rig, String event, long absent) {
        return rig.stream()
                .filter(entry -> entry.is(event))
                .mapToLong(LogEntry::atUs)
                .findFirst()
                .orElse(absent);
    }
}
