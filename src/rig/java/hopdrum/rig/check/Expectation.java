package hopdrum.rig.check;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Set;
import java.util.TreeSet;

/**
 * A step of the trial file that states an expectation, as the rig logged it when the step was due.
 *
 * @param kind the step's key, {@code expect_...}
 * @param atUs when the step was due
 * @param frontDoors the sorted names of the front doors that the expectation is about
 * @param arguments the step's other keys
 */
record Expectation(String kind, long atUs, Set<String> frontDoors, JsonNode arguments) {
    private static final double DEFAULT_DURATION_S = 5;

    static Expectation of(LogEntry step) {
        Set<String> frontDoors = new TreeSet<>();
        step.field("who").forEach(frontDoor -> frontDoors.add(frontDoor.asText()));
        return new Expectation(step.text("do"), step.atUs(), frontDoors, step.field("more"));
    }

    /** Returns the time by which the expectation must be met: {@code within_s} after the step. */
    long deadlineUs() {
        return atUs + durationUs("within_s", DEFAULT_DURATION_S);
    }

    /** Returns the end of the period in which the expectation must hold: {@code for_s} after the step. */
    long periodEndUs() {
        return atUs + durationUs("for_s", DEFAULT_DURATION_S);
    }

    /** Returns an argument that is given in seconds, in microseconds; the default, in seconds, if it is absent. */
    long durationUs(String key, double defaultS) {
        return (long) (1e6 * arguments.path(key).asDouble(defaultS));
    }
}
