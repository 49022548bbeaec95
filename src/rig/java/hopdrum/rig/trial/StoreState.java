package hopdrum.rig.trial;

import java.util.Arrays;
import java.util.Locale;

/** The state of a front door's stored data when its process starts: the values of a trial file's key {@code store}. */
enum StoreState {
    /** The file is unchanged. */
    KEPT,
    /** The file does not exist. */
    LOST,
    /** The file is truncated, as by a crash during a write. */
    TORN;

    /** Returns the state with this key in a trial file; {@link #KEPT} for an unknown key. */
    static StoreState ofKey(String key) {
        return Arrays.stream(values())
                .filter(state -> state.key().equals(key))
                .findFirst()
                .orElse(KEPT);
    }

    /** Returns the key in trial files and in the journal: the name in lower case. */
    String key() {
        return name().toLowerCase(Locale.ROOT);
    }
}
