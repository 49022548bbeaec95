package hopdrum.rig.trial;

import java.io.Closeable;
import java.io.IOException;

/** Closes what may have failed already. */
final class Closeables {
    private Closeables() {}

    static void closeQuietly(Closeable closeable) {
        try {
            closeable.close();
        } catch (IOException e) {
            // closed either way
        }
    }
}
