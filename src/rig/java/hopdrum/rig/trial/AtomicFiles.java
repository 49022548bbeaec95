package hopdrum.rig.trial;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/** Replaces files that other processes watch. */
final class AtomicFiles {
    private AtomicFiles() {}

    /** Replaces a file by a move, so that no reader sees half of it. */
    static void replace(Path file, String content) throws IOException {
        Path temporary = file.resolveSibling(file.getFileName() + ".new");
        Files.writeString(temporary, content);
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }
}
