package hopdrum.rig.check;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Set;
import java.util.TreeSet;

/**
 * A step of the trial file that expects something, as the rig logged it when its time came.
 *
 * @param kind the step's key, {@code expect_...}
 * @param atUs when its time came
 * @param doors whom it is about, sorted
 * @param arguments the step's other keys
 */
record Expectation(String kind, long atUs, Set<String> doors, JsonNode arguments) {
    private static final double DEFAULT_LIMIT_S = 5;

    static Expectation of(LogEntry step) {
        Set<String> doors = new TreeSet<>();
        step.field("who").forEach(door -> doors.add(door.asText()));
        return new Expectation(step.text("do"), step.atUs(), doors, step.field("more"));
    }

    /** The end of {@code within_s}. */
    long withinUs() {
        return atUs + durationUs("within_s", DEFAULT_LIMIT_S);
    }

    /** The end of {@code for_s}. */
    long untilUs() {
        return atUs + durationUs("for_s", DEFAULT_LIMIT_S);
    }

    /** An argument in seconds, as microseconds. */
    long durationUs(String key, double absentS) {
        return (long) (1e6 * arguments.path(key).asDouble(absentS));
    }
}
