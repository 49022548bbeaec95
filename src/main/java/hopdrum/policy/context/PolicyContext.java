package hopdrum.policy.context;

import hopdrum.host.Host;
import hopdrum.host.Settings;
import java.util.SplittableRandom;

/**
 * The state that the policy classes of one gateway share. There is one context for each {@code Policy}, used by its one
 * thread. All random numbers come from its one generator, so a run can be repeated from its seed and its events.
 */
public final class PolicyContext {
    /** A time before all others, in microseconds; half of the minimum, so that differences do not overflow. */
    public static final long DISTANT_PAST_US = Long.MIN_VALUE / 2;

    private final Settings settings;
    private final Host host;
    private final SplittableRandom random;
    private final Timers timers;

    /** Creates a context with its own random number generator and timers; {@code seed} seeds the generator. */
    public PolicyContext(Settings settings, long seed, Host host) {
        this.settings = settings;
        this.host = host;
        this.random = new SplittableRandom(seed);
        this.timers = new Timers(host);
    }

    /** Returns the settings of the deployment. */
    public Settings settings() {
        return settings;
    }

    /** Returns the front door that carries out the decisions. */
    public Host host() {
        return host;
    }

    /** Returns the current time of the host's clock in microseconds; constant while an event is handled. */
    public long nowUs() {
        return host.nowUs();
    }

    /** Returns the next random number, uniform in [0, 1). */
    public double nextRandom() {
        return random.nextDouble();
    }

    /**
     * Schedules an action for a time in microseconds of the host's clock; the action runs in the first wake-up at or
     * after that time.
     *
     * @return the timer, by which the action can be cancelled
     */
    public Timer schedule(long atUs, Runnable action) {
        return timers.schedule(atUs, action);
    }

    /** Runs the actions that are due; returns false if an earlier wake-up has already run them. */
    public boolean runDueTimers() {
        return timers.runDue();
    }

    /** Schedules a wake-up with the host for the earliest timer. Called at the end of each event. */
    public void armTimers() {
        timers.arm();
    }
}
