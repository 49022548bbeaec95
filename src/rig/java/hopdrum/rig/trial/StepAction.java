package hopdrum.rig.trial;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** What a step of a trial file does or expects; docs/trials.md describes each action. */
enum StepAction {
    START,
    KILL,
    TERM,
    PAUSE,
    WAKE,
    CUT,
    CUT_BOTH,
    HEAL,
    DELAY,
    LOSE,
    DUPLICATE,
    HOLD,
    RELEASE,
    TRICKLE,
    RESET,
    COUNTER,
    SLOW_SITE,
    LOSE_SITE,
    LIE,
    AMEND,
    AWAIT_REVISION,
    LOSE_PASSING,
    EXPECT_SETTLED,
    EXPECT_SAME_VIEW,
    EXPECT_CUT_OFF,
    EXPECT_REFUSED,
    EXPECT_UNCHANGED,
    EXPECT_NOT_DROPPED,
    EXPECT_ANSWERED,
    EXPECT_MAP,
    EXPECT_IN_TIME,
    EXPECT_SHARES,
    EXPECT_OWNED,
    EXPECT_REFUSAL;

    /** Returns the action with this key in a trial file; empty for an unknown key. */
    static Optional<StepAction> ofKey(String key) {
        return Arrays.stream(values())
                .filter(action -> action.key().equals(key))
                .findFirst();
    }

    /** Returns the key in trial files and in the journal: the name in lower case. */
    String key() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns whether the value of the key is a single text instead of names of front doors. */
    boolean takesText() {
        return this == AMEND || this == AWAIT_REVISION;
    }
}
