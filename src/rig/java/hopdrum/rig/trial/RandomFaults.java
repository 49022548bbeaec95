package hopdrum.rig.trial;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Faults that are drawn at random, each of which ends after some time. The same seed draws the same faults.
 *
 * @param fromMs the time of the first fault, after the trial's begin
 * @param toMs the time at which faults end at the latest (except a restart after SIGTERM) and after which none is drawn
 * @param meanIntervalMs the mean time between two faults
 * @param meanDurationMs the mean duration of a fault
 * @param maxFaulty how many front doors may have a fault at once
 * @param kinds the kinds of faults to draw from: kill, term, pause, cut or lose
 */
record RandomFaults(
        long fromMs, long toMs, long meanIntervalMs, long meanDurationMs, int maxFaulty, List<String> kinds) {
    private static final long RECOVERY_MS = 1_500; // the minimum time between two faults of a front door
    private static final long MIN_RESTART_MS = 2_000; // between SIGTERM and the restart
    private static final int LOSS_PERCENT = 30;

    /** One front door, all others, and the times at which the front door's fault begins and ends. */
    private record FaultWindow(List<String> target, List<String> others, long fromMs, long untilMs) {}

    /**
     * Draws the steps that begin and end all faults.
     *
     * @param fileErrors the errors found in the trial file, to which unknown kinds are added
     */
    List<Step> drawSteps(List<String> frontDoors, SplittableRandom random, List<String> fileErrors) {
        List<Step> steps = new ArrayList<>();
        long[] faultyUntilMs = new long[frontDoors.size()];
        for (long at = fromMs; at < toMs; at += meanIntervalMs / 2 + random.nextLong(meanIntervalMs)) {
            long atMs = at;
            int index = random.nextInt(frontDoors.size());
            String kind = kinds.get(random.nextInt(kinds.size()));
            long untilMs = Math.min(toMs, atMs + meanDurationMs / 2 + random.nextLong(meanDurationMs));
            long faultyCount =
                    Arrays.stream(faultyUntilMs).filter(until -> until > atMs).count();
            if (faultyUntilMs[index] > atMs || faultyCount >= maxFaulty) {
                continue;
            }
            faultyUntilMs[index] = untilMs + RECOVERY_MS;
            FaultWindow window = window(frontDoors, index, atMs, untilMs);
            switch (kind) {
                case "kill" -> {
                    String store = random.nextInt(4) == 0 ? "lost" : "kept";
                    steps.addAll(kill(window, store));
                }
                case "term" -> steps.addAll(terminate(window));
                case "pause" -> steps.addAll(pause(window));
                case "cut" -> steps.addAll(partition(window));
                case "lose" -> steps.addAll(loseMessages(window));
                default ->
                    fileErrors.add("random: of: unknown kind " + kind + ", expected kill, term, pause, cut or lose");
            }
        }
        return steps;
    }

    private static FaultWindow window(List<String> frontDoors, int index, long fromMs, long untilMs) {
        List<String> target = List.of(frontDoors.get(index));
        List<String> others = frontDoors.stream()
                .filter(frontDoor -> !target.contains(frontDoor))
                .toList();
        return new FaultWindow(target, others, fromMs, untilMs);
    }

    private static List<Step> kill(FaultWindow window, String store) {
        return List.of(
                new Step(window.fromMs, StepAction.KILL, window.target, Map.of()),
                new Step(window.untilMs, StepAction.START, window.target, Map.of("store", store)));
    }

    private static List<Step> terminate(FaultWindow window) {
        long restartMs = Math.max(window.untilMs, window.fromMs + MIN_RESTART_MS);
        return List.of(
                new Step(window.fromMs, StepAction.TERM, window.target, Map.of()),
                new Step(restartMs, StepAction.START, window.target, Map.of()));
    }

    private static List<Step> pause(FaultWindow window) {
        return List.of(
                new Step(window.fromMs, StepAction.PAUSE, window.target, Map.of()),
                new Step(window.untilMs, StepAction.WAKE, window.target, Map.of()));
    }

    private static List<Step> partition(FaultWindow window) {
        return List.of(
                Step.between(window.fromMs, StepAction.CUT_BOTH, window.target, window.others),
                Step.between(window.untilMs, StepAction.RELEASE, window.target, window.others));
    }

    private static List<Step> loseMessages(FaultWindow window) {
        Map<String, Object> loss = Map.of("from", window.others, "to", window.target, "percent", LOSS_PERCENT);
        return List.of(
                new Step(window.fromMs, StepAction.LOSE, List.of(), loss),
                Step.between(window.untilMs, StepAction.RELEASE, window.others, window.target));
    }
}
