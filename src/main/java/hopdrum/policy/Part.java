package hopdrum.policy;

import hopdrum.host.Host;
import hopdrum.host.Settings;
import hopdrum.host.Timers;
import java.util.SplittableRandom;

/** What the parts of one gateway's module share. */
abstract class Part {
    static final long NEVER = Long.MIN_VALUE / 2;
    final Settings settings;
    final Host host;
    final SplittableRandom random;
    final Timers timers;

    Part(Settings settings, long seed, Host host) {
        this.settings = settings;
        this.host = host;
        this.random = new SplittableRandom(seed);
        this.timers = new Timers(host);
    }

    Part(Part of) {
        settings = of.settings;
        host = of.host;
        random = of.random;
        timers = of.timers;
    }

    final long now() {
        return host.nowUs();
    }

    final void at(long atUs, Runnable what) {
        timers.at(atUs, what);
    }
}
