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
    private static final long RECOVERY_MS = 1_500; // from the end of a fault to the next one of the same front door
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
        for (long timeMs = fromMs; timeMs < toMs; timeMs += meanIntervalMs / 2 + random.nextLong(meanIntervalMs)) {
            long atMs = timeMs;
            int index = random.nextInt(frontDoors.size());
            String kind = kinds.get(random.nextInt(kinds.size()));
            long untilMs = Math.min(toMs, atMs + meanDurationMs / 2 + random.nextLong(meanDurationMs));
            long faultyCount =
                    Arrays.stream(faultyUntilMs).filter(until -> until > atMs).count();
            if (faultyUntilMs[index] > atMs || faultyCount >= maxFaulty) {
                continue;
            }
            faultyUntilMs[index] = untilMs + RECOVERY_MS;
            FaultWindow faultWindow = faultWindow(frontDoors, index, atMs, untilMs);
            switch (kind) {
                case "kill" -> {
                    String store = random.nextInt(4) == 0 ? "lost" : "kept";
                    steps.addAll(killSteps(faultWindow, store));
                }
                case "term" -> steps.addAll(terminateSteps(faultWindow));
                case "pause" -> steps.addAll(pauseSteps(faultWindow));
                case "cut" -> steps.addAll(partitionSteps(faultWindow));
                case "lose" -> steps.addAll(messageLossSteps(faultWindow));
                default ->
                    fileErrors.add("random: of: unknown kind " + kind + ", expected kill, term, pause, cut or lose");
            }
        }
        return steps;
    }

    private static FaultWindow faultWindow(List<String> frontDoors, int index, long fromMs, long untilMs) {
        List<String> target = List.of(frontDoors.get(index));
        List<String> others = frontDoors.stream()
                .filter(frontDoor -> !target.contains(frontDoor))
                .toList();
        return new FaultWindow(target, others, fromMs, untilMs);
    }

    private static List<Step> killSteps(FaultWindow faultWindow, String store) {
        return List.of(
                new Step(faultWindow.fromMs, StepAction.KILL, faultWindow.target, Map.of()),
                new Step(faultWindow.untilMs, StepAction.START, faultWindow.target, Map.of("store", store)));
    }

    private static List<Step> terminateSteps(FaultWindow faultWindow) {
        long restartMs = Math.max(faultWindow.untilMs, faultWindow.fromMs + MIN_RESTART_MS);
        return List.of(
                new Step(faultWindow.fromMs, StepAction.TERM, faultWindow.target, Map.of()),
                new Step(restartMs, StepAction.START, faultWindow.target, Map.of()));
    }

    private static List<Step> pauseSteps(FaultWindow faultWindow) {
        return List.of(
                new Step(faultWindow.fromMs, StepAction.PAUSE, faultWindow.target, Map.of()),
                new Step(faultWindow.untilMs, StepAction.WAKE, faultWindow.target, Map.of()));
    }

    private static List<Step> partitionSteps(FaultWindow faultWindow) {
        return List.of(
                Step.between(faultWindow.fromMs, StepAction.CUT_BOTH, faultWindow.target, faultWindow.others),
                Step.between(faultWindow.untilMs, StepAction.RELEASE, faultWindow.target, faultWindow.others));
    }

    private static List<Step> messageLossSteps(FaultWindow faultWindow) {
        Map<String, Object> loss =
                Map.of("from", faultWindow.others, "to", faultWindow.target, "percent", LOSS_PERCENT);
        return List.of(
                new Step(faultWindow.fromMs, StepAction.LOSE, List.of(), loss),
                Step.between(faultWindow.untilMs, StepAction.RELEASE, faultWindow.others, faultWindow.target));
    }
}
