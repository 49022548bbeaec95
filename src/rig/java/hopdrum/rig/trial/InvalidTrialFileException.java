package hopdrum.rig.trial;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;

/** Thrown for a trial file that cannot be used; the message has one line for each error in the file. */
public final class InvalidTrialFileException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    InvalidTrialFileException(Path file, List<String> errors) {
        super(errors.stream().map(error -> file + ": " + error).collect(Collectors.joining("\n")));
    }

    InvalidTrialFileException(Path file, String error, Throwable cause) {
        super(file + ": " + error, cause);
    }
}
