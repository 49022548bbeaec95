package hopdrum.fleet.config;

import java.nio.file.Path;
import java.util.List;

/**
 * Thrown if a fleet or terms file cannot be read or has faults. The message lists all faults in the order of the file,
 * one on each line: {@code FILE:LINE: KEY: what was found, expected what}.
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
     * Returns the path of the file.
     *
     * @return the path as the caller gave it
     */
    public String file() {
        return file;
    }

    /**
     * Returns the faults in the order of the message.
     *
     * @return an entry for each fault: file, line, key, what was found and what was expected
     */
    public List<String> faults() {
        return faults;
    }
}
