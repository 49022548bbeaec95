package hopdrum.rig.trial;

import java.util.Arrays;
import java.util.Locale;

/** How the counter behaves towards one door; the keys of a trial file's {@code is}. */
enum CounterState {
    WELL,
    /** Takes requests and answers none. */
    SILENT,
    /** Answers late. */
    SLOW,
    /** Well, but all its numbers were lost just now. */
    EMPTIED;

    /** By its key in a trial file; a key that is not known means {@link #WELL}. */
    static CounterState ofKey(String key) {
        return Arrays.stream(values())
                .filter(state -> state.key().equals(key))
                .findFirst()
                .orElse(WELL);
    }

    String key() {
        return name().toLowerCase(Locale.ROOT);
    }
}
