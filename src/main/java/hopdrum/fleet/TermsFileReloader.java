package hopdrum.fleet;

import hopdrum.fleet.config.InvalidFileException;
import hopdrum.fleet.config.TermsFile;
import hopdrum.fleet.log.FleetLog;
import hopdrum.fleet.shards.ShardCoordinator;
import java.nio.file.Path;

/**
 * Reloads the operator's terms file when it has changed. If the file is invalid, the present terms remain in use.
 * Called under the fleet member's lock.
 */
final class TermsFileReloader {
    private final Path file;
    private final ShardCoordinator coordinator;
    private final FleetLog log;
    private final long checkIntervalUs;
    private long loadedModifiedAtMs; // modification time of the last loaded file, wall clock
    private long lastCheckUs;

    /**
     * Creates a reloader for a file whose present terms are already in use.
     *
     * @param file the terms file
     * @param coordinator receives changed terms
     * @param log the log for faults of the file
     * @param checkIntervalUs how often the file is checked for changes, microseconds
     * @param loadedModifiedAtMs the modification time of the loaded file, milliseconds of the wall clock
     */
    TermsFileReloader(
            Path file, ShardCoordinator coordinator, FleetLog log, long checkIntervalUs, long loadedModifiedAtMs) {
        this.file = file;
        this.coordinator = coordinator;
        this.log = log;
        this.checkIntervalUs = checkIntervalUs;
        this.loadedModifiedAtMs = loadedModifiedAtMs;
    }

    /** Reloads the file if the check interval has passed and the file has been written since it was last loaded. */
    void reloadIfChanged(long nowUs) {
        if (nowUs - lastCheckUs < checkIntervalUs) {
            return;
        }
        lastCheckUs = nowUs;
        long modifiedAtMs = file.toFile().lastModified(); // 0 if the file does not exist
        if (modifiedAtMs == loadedModifiedAtMs || modifiedAtMs == 0) {
            return;
        }
        loadedModifiedAtMs = modifiedAtMs;
        try {
            coordinator.updateTerms(TermsFile.read(file));
        } catch (InvalidFileException e) {
            log.rateLimitedEvent("terms_faulty", e.getMessage());
        }
    }
}
