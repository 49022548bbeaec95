package hopdrum.fleet;

import hopdrum.fleet.config.InvalidFileException;
import hopdrum.fleet.config.TermsFile;
import hopdrum.fleet.log.FleetLog;
import hopdrum.fleet.shards.ShardCoordinator;
import java.nio.file.Path;

/**
 * Reloads the operator's terms file when it has changed; an invalid file leaves the terms in use unchanged. Called under the
 * fleet's lock.
 */
final class TermsFileReloader {
    private final Path file;
    private final ShardCoordinator coordinator;
    private final FleetLog log;
    private final long checkIntervalUs;
    private long loadedMs; // when the terms in use were written
    private long checkedUs;

    /** @param loadedMs when the file that is in use already was written, milliseconds of the wall clock */
    TermsFileReloader(Path file, ShardCoordinator coordinator, FleetLog log, long checkIntervalUs, long loadedMs) {
        this.file = file;
        this.coordinator = coordinator;
        this.log = log;
        this.checkIntervalUs = checkIntervalUs;
        this.loadedMs = loadedMs;
    }

    void reloadIfChanged(long nowUs) {
        if (nowUs - checkedUs < checkIntervalUs) {
            return;
        }
        checkedUs = nowUs;
        long writtenMs = file.toFile().lastModified(); // 0 if the file does not exist
        if (writtenMs == loadedMs || writtenMs == 0) {
            return;
        }
        loadedMs = writtenMs;
        try {
            coordinator.updateTerms(TermsFile.read(file));
        } catch (InvalidFileException e) {
            log.rateLimitedEvent("terms_faulty", e.getMessage());
        }
    }
}
