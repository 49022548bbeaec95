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
 * @param everyMs between two faults, on average
 * @param holdMs how long a fault lasts, on average
 * @param maxFaulty how many doors have a fault at once
 * @param kinds the kinds of faults to draw from
 */
record RandomFaults(long fromMs, long toMs, long everyMs, long holdMs, int maxFaulty, List<String> kinds) {
    private static final long RECOVERY_MS = 1_500; // after a fault a door is left alone for so long
    private static final long MIN_RESTART_MS = 2_000; // after SIGTERM
    private static final int LOSS_PERCENT = 30;

    /** One fault of a door, and its end. */
    private record Window(List<String> target, List<String> others, long fromMs, long untilMs) {}

    /** The steps of all faults; kinds that are not known are added to the file's faults. */
    List<Step> draw(List<String> doors, SplittableRandom random, List<String> fileFaults) {
        List<Step> steps = new ArrayList<>();
        long[] faultyUntilMs = new long[doors.size()];
        for (long at = fromMs; at < toMs; at += everyMs / 2 + random.nextLong(everyMs)) {
            long atMs = at;
            int index = random.nextInt(doors.size());
            String kind = kinds.get(random.nextInt(kinds.size()));
            long untilMs = Math.min(toMs, atMs + holdMs / 2 + random.nextLong(holdMs));
            long faulty =
                    Arrays.stream(faultyUntilMs).filter(until -> until > atMs).count();
            if (faultyUntilMs[index] > atMs || faulty >= maxFaulty) {
                continue;
            }
            faultyUntilMs[index] = untilMs + RECOVERY_MS;
            Window window = window(doors, index, atMs, untilMs);
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
                    fileFaults.add("random: of: " + kind + " is not known, expected kill, term, pause, cut or lose");
            }
        }
        return steps;
    }

    private static Window window(List<String> doors, int index, long fromMs, long untilMs) {
        List<String> target = List.of(doors.get(index));
        List<String> others =
                doors.stream().filter(door -> !target.contains(door)).toList();
        return new Window(target, others, fromMs, untilMs);
    }

    private static List<Step> kill(Window window, String store) {
        return List.of(
                new Step(window.fromMs, StepAction.KILL, window.target, Map.of()),
                new Step(window.untilMs, StepAction.START, window.target, Map.of("store", store)));
    }

    private static List<Step> terminate(Window window) {
        long restartMs = Math.max(window.untilMs, window.fromMs + MIN_RESTART_MS);
        return List.of(
                new Step(window.fromMs, StepAction.TERM, window.target, Map.of()),
                new Step(restartMs, StepAction.START, window.target, Map.of()));
    }

    private static List<Step> pause(Window window) {
        return List.of(
                new Step(window.fromMs, StepAction.PAUSE, window.target, Map.of()),
                new Step(window.untilMs, StepAction.WAKE, window.target, Map.of()));
    }

    private static List<Step> partition(Window window) {
        return List.of(
                Step.between(window.fromMs, StepAction.CUT_BOTH, window.target, window.others),
                Step.between(window.untilMs, StepAction.RELEASE, window.target, window.others));
    }

    private static List<Step> loseMessages(Window window) {
        Map<String, Object> loss = Map.of("from", window.others, "to", window.target, "percent", LOSS_PERCENT);
        return List.of(
                new Step(window.fromMs, StepAction.LOSE, List.of(), loss),
                Step.between(window.untilMs, StepAction.RELEASE, window.others, window.target));
    }
}
