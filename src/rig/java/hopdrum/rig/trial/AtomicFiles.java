package hopdrum.rig.trial;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/** Atomic replacement of files that other processes watch. */
final class AtomicFiles {
    private AtomicFiles() {}

    /**
     * Replaces a file by an atomic move of a complete new one, so that no reader sees a partly written file.
     *
     * @throws IOException if the new file cannot be written or moved
     */
    static void replace(Path file, String content) throws IOException {
        Path temporary = file.resolveSibling(file.getFileName() + ".new");
        Files.writeString(temporary, content);
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }
}
