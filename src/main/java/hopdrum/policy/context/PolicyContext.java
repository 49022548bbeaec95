package hopdrum.policy.context;

import hopdrum.host.Host;
import hopdrum.host.Settings;
import java.util.SplittableRandom;

/**
 * What the classes that decide for one gateway share. There is one context for each {@code Policy}, used by its one
 * thread; all randomness comes from its one generator, so a run is repeated by its seed and its events.
 */
public final class PolicyContext {
    /** A time before all others, in microseconds; half of the range, so that differences don't overflow. */
    public static final long NEVER = Long.MIN_VALUE / 2;

    private final Settings settings;
    private final Host host;
    private final SplittableRandom random;
    private final Timers timers;

    /** A context with its own generator and timers; {@code seed} starts the generator. */
    public PolicyContext(Settings settings, long seed, Host host) {
        this.settings = settings;
        this.host = host;
        this.random = new SplittableRandom(seed);
        this.timers = new Timers(host);
    }

    /** The deployment's settings. */
    public Settings settings() {
        return settings;
    }

    /** The front door that carries out what is decided. */
    public Host host() {
        return host;
    }

    /** The host's clock in microseconds; it stands still during an event. */
    public long nowUs() {
        return host.nowUs();
    }

    /** The next number of the generator, uniform in [0, 1). */
    public double nextRandom() {
        return random.nextDouble();
    }

    /** Runs an action at a time in microseconds of the host's clock, or as soon after as the host calls. */
    public void schedule(long atUs, Runnable action) {
        timers.schedule(atUs, action);
    }

    /** Runs the actions that are due; false where an earlier wake-up has run them. */
    public boolean runDueTimers() {
        return timers.runDue();
    }

    /** Asks the host for a wake-up at the earliest timer. To be called at the end of each event. */
    public void armTimers() {
        timers.arm();
    }
}
