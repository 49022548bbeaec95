package hopdrum.fleet.config;

import java.nio.file.Path;
import java.util.List;

/**
 * A fleet or terms file that cannot be used. The message has all its faults, a line each, in the file's order:
 * {@code FILE:LINE: KEY: what was found, expected what}.
 */
public final class InvalidFileException extends Exception {
    private static final long serialVersionUID = 1;

    private final String file;
    private final List<String> faults;

    InvalidFileException(Path file, List<String> faults) {
        super(String.join("\n", faults));
        this.file = String.valueOf(file);
        this.faults = List.copyOf(faults);
    }

    /**
     * Returns the file that was read.
     *
     * @return its path as it was given
     */
    public String file() {
        return file;
    }

    /**
     * Returns each fault, as the message has it.
     *
     * @return one entry a fault: file, line, key, what was found and what was expected
     */
    public List<String> faults() {
        return faults;
    }
}
