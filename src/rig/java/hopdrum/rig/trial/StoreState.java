package hopdrum.rig.trial;

import java.util.Arrays;
import java.util.Locale;

/** What a process finds in its store when it starts; the keys of a trial file's {@code store}. */
enum StoreState {
    KEPT,
    /** The file is gone. */
    LOST,
    /** The file was cut off in mid-write. */
    TORN;

    /** By its key in a trial file; a key that is not known means {@link #KEPT}. */
    static StoreState ofKey(String key) {
        return Arrays.stream(values())
                .filter(state -> state.key().equals(key))
                .findFirst()
                .orElse(KEPT);
    }

    String key() {
        return name().toLowerCase(Locale.ROOT);
    }
}
