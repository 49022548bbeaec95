package hopdrum.rig.trial;

import java.io.Closeable;
import java.io.IOException;

/** Closes what may be gone already. */
final class Quiet {
    private Quiet() {}

    static void close(Closeable what) {
        try {
            what.close();
        } catch (IOException e) {
            // gone either way
        }
    }
}
