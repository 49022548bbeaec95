package hopdrum.rig.trial;

import java.io.Closeable;
import java.io.IOException;

/** Closing of resources whose errors no longer matter. */
final class Closeables {
    private Closeables() {}

    /** Closes a resource and ignores an error of its {@code close}. */
    static void closeQuietly(Closeable closeable) {
        try {
            closeable.close();
        } catch (IOException e) {
            // The resource counts as closed even if close() reports an error.
        }
    }
}
