package hopdrum.rig.trial;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;

/** A trial file that cannot be used; the message has one line for each fault. */
public final class InvalidTrialFileException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    InvalidTrialFileException(Path file, List<String> faults) {
        super(faults.stream().map(fault -> file + ": " + fault).collect(Collectors.joining("\n")));
    }

    InvalidTrialFileException(Path file, String fault, Throwable cause) {
        super(file + ": " + fault, cause);
    }
}
