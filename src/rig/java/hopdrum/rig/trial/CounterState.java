package hopdrum.rig.trial;

import java.util.Arrays;
import java.util.Locale;

/** How the counter behaves towards one front door: the values of a trial file's key {@code is}. */
enum CounterState {
    /** Answers each request at once. */
    WELL,
    /** Accepts requests and never answers them. */
    SILENT,
    /** Answers each request after a delay. */
    SLOW,
    /** Loses all totals once, then answers as in {@link #WELL}. */
    EMPTIED;

    /** Returns the state with this key in a trial file; {@link #WELL} for an unknown key. */
    static CounterState ofKey(String key) {
        return Arrays.stream(values())
                .filter(state -> state.key().equals(key))
                .findFirst()
                .orElse(WELL);
    }

    /** Returns the key in trial files and in the journal: the name in lower case. */
    String key() {
        return name().toLowerCase(Locale.ROOT);
    }
}
