package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** Writes what was sent, answered and run to a case's record, with the milliseconds since its start. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Record(Path folder) throws IOException {
        out = new PrintWriter(folder.resolve("record.txt").toFile(), StandardCharsets.UTF_8);
    }

    long nowMs() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void line(String text) {
        out.println(nowMs() + " ms: " + text);
    }

    /** Writes the verdict to the record and to standard output, and returns it as the exit code. */
    synchronized int verdict(boolean broken, String text) {
        line((broken ? "BROKEN: " : "held: ") + text);
        System.out.println((broken ? "BROKEN: " : "held: ") + text);
        close();
        return broken ? 1 : 0;
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
