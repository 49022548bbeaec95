package review2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** Runs one case: its class, the project's root and the case's folder. Exit codes: 0 held, 1 broken, 2 could not run. */
final class Case {
    interface Body {
        int run(Path root, Path temporary, Record record, boolean trouble) throws Exception;
    }

    private static final long LIMIT_MS = 112_000;

    private Case() {}

    public static void main(String[] arguments) throws Exception {
        Path temporary = Files.createTempDirectory("review-2-");
        // Also if the script is told to end: after the front door's process, which its own hook ends.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> delete(temporary)));
        Threads.start("limit", () -> {
            Thread.sleep(LIMIT_MS);
            System.err.println("the case has taken too long");
            System.exit(2);
        });
        int code = 2;
        try (Record record = new Record(Path.of(arguments[2]))) {
            Body body = (Body) Class.forName("review2." + arguments[0])
                    .getDeclaredConstructor()
                    .newInstance();
            boolean trouble = !"0".equals(System.getenv("TROUBLE"));
            record.line(arguments[0] + (trouble ? "" : ", without the disruption"));
            code = body.run(Path.of(arguments[1]), temporary, record, trouble);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private static void delete(Path folder) {
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            e.printStackTrace();
        }
    }
}
