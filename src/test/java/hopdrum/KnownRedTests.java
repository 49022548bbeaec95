package hopdrum;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * The tests that KNOWN-RED.txt lists as failing. An entry is one line, which begins with the test's name: {@code
 * Class.method}, or {@code Class} and a trial's file for a test that plays a trial.
 */
final class KnownRedTests {
    private static final Path FILE = Path.of("KNOWN-RED.txt");
    private static final Pattern NAME = Pattern.compile("^(\\w+\\.\\w+|\\w+ trials/[\\w/.-]+)(?=[ :(])");

    private final Set<String> names;

    private KnownRedTests(Set<String> names) {
        this.names = names;
    }

    /** Reads the list at the root of the project; without a file, no test is listed. */
    static KnownRedTests load() throws IOException {
        return parse(Files.exists(FILE) ? Files.readAllLines(FILE) : List.of());
    }

    static KnownRedTests parse(List<String> entries) {
        return new KnownRedTests(entries.stream()
                .map(NAME::matcher)
                .filter(Matcher::find)
                .map(matcher -> matcher.group(1))
                .collect(Collectors.toSet()));
    }

    boolean containsMethod(Class<?> testClass, String method) {
        return names.contains(testClass.getSimpleName() + "." + method);
    }

    boolean containsTrial(Class<?> testClass, String trialFileName) {
        return names.stream()
                .anyMatch(name ->
                        name.startsWith(testClass.getSimpleName() + " trials/") && name.endsWith("/" + trialFileName));
    }
}
