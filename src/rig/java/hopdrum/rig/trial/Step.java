package hopdrum.rig.trial;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * An action or an expectation at a time after the trial's begin.
 *
 * @param atMs the time after the trial's begin
 * @param action what is done or expected
 * @param targets the names of the front doors concerned; for {@code amend} the operator, for {@code await_revision} the
 *     revision
 * @param arguments the step's other keys and their values
 */
record Step(long atMs, StepAction action, List<String> targets, Map<String, Object> arguments) {
    /** Creates a step that concerns the links between two groups of front doors. */
    static Step between(long atMs, StepAction action, List<String> from, List<String> to) {
        return new Step(atMs, action, List.of(), Map.of("from", from, "to", to));
    }

    /** Returns a numeric argument; the default value if the argument is absent or not a number. */
    double number(String key, double defaultValue) {
        return arguments.get(key) instanceof Number number ? number.doubleValue() : defaultValue;
    }

    /** Returns an argument as text; the default value if the argument is absent. */
    String text(String key, String defaultValue) {
        return arguments.get(key) == null ? defaultValue : arguments.get(key).toString();
    }

    /** Returns true unless the argument is {@code false}; an absent argument counts as true. */
    boolean flag(String key) {
        return !Boolean.FALSE.equals(arguments.get(key));
    }

    /** Returns an argument that lists names of front doors; empty if the argument is absent. */
    List<String> frontDoorNames(String key) {
        return arguments.get(key) instanceof List<?> names
                ? names.stream().map(String::valueOf).toList()
                : List.of();
    }

    /** Returns the terms of an {@code amend} step and their values; empty if the step has none. */
    Map<String, Object> terms() {
        Map<String, Object> terms = new LinkedHashMap<>();
        if (arguments.get("terms") instanceof Map<?, ?> termValues) {
            termValues.forEach((key, value) -> terms.put(String.valueOf(key), value));
        }
        return terms;
    }
}
