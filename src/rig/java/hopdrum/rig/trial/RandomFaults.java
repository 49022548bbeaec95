package hopdrum.rig.trial;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Faults drawn at random, each undone after a while. The same seed draws the same.
 *
 * @param fromMs the first fault's time, after the trial's begin
 * @param toMs when all are undone and no more are drawn
 * @param meanIntervalMs between two faults, on average
 * @param meanDurationMs how long a fault lasts, on average
 * @param maxFaulty how many doors have a fault at once
 * @param kinds the kinds of faults to draw from
 */
record RandomFaults(
        long fromMs, long toMs, long meanIntervalMs, long meanDurationMs, int maxFaulty, List<String> kinds) {
    private static final long RECOVERY_MS = 1_500; // after a fault a door is left alone for so long
    private static final long MIN_RESTART_MS = 2_000; // after SIGTERM
    private static final int LOSS_PERCENT = 30;

    /** One fault of a door, and its end. */
    private record FaultWindow(List<String> target, List<String> others, long fromMs, long untilMs) {}

    /** The steps of all faults; kinds that are not known are added to the file's faults. */
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
                    fileErrors.add("random: of: " + kind + " is not known, expected kill, term, pause, cut or lose");
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
