package hopdrum.frontdoor.server;

import hopdrum.frontdoor.FrontDoor;
import hopdrum.frontdoor.lifecycle.Config;
import hopdrum.frontdoor.lifecycle.EventLoop;
import hopdrum.frontdoor.lifecycle.Log;
import java.nio.file.Path;
import sun.misc.Signal;

/**
 * Reloads the configuration on every SIGHUP. SIGHUP is handled from the start of the process, because a JVM without a
 * handler exits on SIGHUP; an early reload waits until the loop runs. An invalid file changes nothing.
 */
public final class ConfigReload {
    private static final Log LOG = new Log("server");

    private final Path file;
    private final EventLoop loop;
    private long lastModifiedMs; // modification time of the file when it was last read
    private FrontDoor frontDoor; // set before the loop runs

    /**
     * Installs the SIGHUP handler, in place of any other.
     *
     * @param file the configuration file
     * @param loop the event loop on which the file is read and applied
     * @param lastModifiedMs the modification time of the file, taken before the file was read, so that a file replaced
     *     in the meantime is read again
     */
    public ConfigReload(Path file, EventLoop loop, long lastModifiedMs) {
        this.file = file;
        this.loop = loop;
        this.lastModifiedMs = lastModifiedMs;
        Signal.handle(new Signal("HUP"), signal -> loop.execute(this::reload));
    }

    /** Sets the front door to which new configurations apply. Called before the loop runs or on its thread. */
    public void attach(FrontDoor frontDoor) {
        this.frontDoor = frontDoor;
        frontDoor.setDiscoveryLostListener(() -> loop.execute(this::reloadIfReplaced));
    }

    /**
     * Reloads the configuration without a SIGHUP if the file has been replaced. During the start, the file may be
     * replaced after it was read and before SIGHUP can be sent. The front door would then watch a former address of
     * discovery, would not learn which backends drain, and would keep sending them requests.
     */
    private void reloadIfReplaced() {
        if (file.toFile().lastModified() != lastModifiedMs) {
            LOG.info("lost discovery and the configuration file has been replaced, reloading it", null);
            reload();
        }
    }

    private void reload() {
        lastModifiedMs = file.toFile().lastModified();
        try {
            frontDoor.reload(Config.read(file));
        } catch (IllegalArgumentException e) {
            LOG.warning("invalid new configuration, keeping the current one", e.getMessage());
        }
    }
}
