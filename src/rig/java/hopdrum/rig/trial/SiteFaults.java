package hopdrum.rig.trial;

import com.fasterxml.jackson.databind.ObjectMapper;
import hopdrum.rig.trial.TrialFile.FrontDoor;
import hopdrum.rig.trial.TrialFile.SitePair;
import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Sets the delays between sites, both on fleet links and on the front doors' paths to backends, and makes the backends
 * of sites unreachable. Publishes both in {@code ways.json} for the reference placements, which know them in advance.
 * Confined to one thread.
 */
final class SiteFaults {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Testbed testbed;
    private final TrialFile file;
    private final EventJournal journal;
    private final Path publishedFile;
    private final Map<String, Boolean> lostSites = new LinkedHashMap<>();
    private Map<String, Double> oneWayDelaysMs = Map.of(); // by "from-to"

    /** Creates the object; no delay applies before {@link #resetDelays}. */
    SiteFaults(Testbed testbed, EventJournal journal, Path outputFolder) {
        this.testbed = testbed;
        this.file = testbed.file();
        this.journal = journal;
        this.publishedFile = outputFolder.resolve("ways.json");
    }

    /** Sets all delays to those of the trial file. */
    void resetDelays() throws IOException {
        applyDelays("", 1);
    }

    /**
     * Sets all delays to those of the trial file, with the delays between one site and all others multiplied by a
     * factor.
     */
    void slowSite(String site, double factor) throws IOException {
        applyDelays(site, factor);
    }

    private void applyDelays(String slowSite, double factor) throws IOException {
        Map<String, Double> delaysMs = new LinkedHashMap<>();
        for (FrontDoor from : file.frontDoors()) {
            for (FrontDoor to : file.frontDoors()) {
                boolean isSlow = !from.site().equals(to.site())
                        && (from.site().equals(slowSite) || to.site().equals(slowSite));
                double delayMs = file.delayMs(from.site(), to.site()) * (isSlow ? factor : 1);
                long delayUs = (long) (1_000 * delayMs);
                testbed.platforms().forEach(platform -> platform.setDelay(from.site(), to.site(), delayUs));
                if (!from.equals(to)) {
                    testbed.network()
                            .linkFaults(from.memberName(), to.memberName())
                            .setDelay(delayUs);
                }
                delaysMs.put(new SitePair(from.site(), to.site()).toString(), delayMs);
            }
        }
        if (!file.delaysMs().isEmpty()) {
            journal.event("distances").with("one_way_ms", delaysMs).write();
            oneWayDelaysMs = delaysMs;
            publish();
        }
    }

    /** Makes the backends of a site unreachable. */
    void loseSite(String site) throws IOException {
        testbed.platforms().forEach(platform -> platform.blockSite(site));
        lostSites.put(site, true);
        publish();
    }

    /** Sets all delays to those of the trial file, and makes all backends reachable. */
    void heal() throws IOException {
        lostSites.clear();
        resetDelays();
        for (FrontDoor frontDoor : file.frontDoors()) {
            testbed.platformOf(frontDoor).unblockSite(frontDoor.site());
        }
    }

    private void publish() throws IOException {
        AtomicFiles.replace(
                publishedFile, JSON.writeValueAsString(Map.of("one_way_ms", oneWayDelaysMs, "lost", lostSites)));
    }
}
