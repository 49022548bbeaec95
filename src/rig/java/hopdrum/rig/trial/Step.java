package hopdrum.rig.trial;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Something done or expected at a time after the trial's begin.
 *
 * @param atMs when, after the begin
 * @param action what
 * @param targets the doors that it is about; of {@code amend} the operator, of {@code await_revision} the revision
 * @param arguments the step's other keys and their values
 */
record Step(long atMs, StepAction action, List<String> targets, Map<String, Object> arguments) {
    /** A step about the links between two groups of doors. */
    static Step between(long atMs, StepAction action, List<String> from, List<String> to) {
        return new Step(atMs, action, List.of(), Map.of("from", from, "to", to));
    }

    double number(String key, double defaultValue) {
        return arguments.get(key) instanceof Number number ? number.doubleValue() : defaultValue;
    }

    String text(String key, String defaultValue) {
        return arguments.get(key) == null ? defaultValue : arguments.get(key).toString();
    }

    /** True unless the argument is {@code false}. */
    boolean flag(String key) {
        return !Boolean.FALSE.equals(arguments.get(key));
    }

    /** A list of door names; empty if absent. */
    List<String> frontDoorNames(String key) {
        return arguments.get(key) instanceof List<?> names
                ? names.stream().map(String::valueOf).toList()
                : List.of();
    }

    /** Of {@code amend}: the terms and their values. */
    Map<String, Object> terms() {
        Map<String, Object> terms = new LinkedHashMap<>();
        if (arguments.get("terms") instanceof Map<?, ?> given) {
            given.forEach((key, value) -> terms.put(String.valueOf(key), value));
        }
        return terms;
    }
}
