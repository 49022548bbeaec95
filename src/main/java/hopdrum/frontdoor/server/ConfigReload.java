package hopdrum.frontdoor.server;

import hopdrum.frontdoor.FrontDoor;
import hopdrum.frontdoor.lifecycle.Config;
import hopdrum.frontdoor.lifecycle.EventLoop;
import hopdrum.frontdoor.lifecycle.Log;
import java.nio.file.Path;
import sun.misc.Signal;

/**
 * SIGHUP: the configuration is read anew, any number of times. Handled from the start, since a JVM ends on a SIGHUP that
 * nothing handles; one that comes early waits in the loop. A file that cannot be used changes nothing.
 */
public final class ConfigReload {
    private static final Log LOG = new Log("server");

    private final Path file;
    private final EventLoop loop;
    private long lastModifiedMs; // of the file as it was read last
    private FrontDoor door; // set before the loop runs

    /**
     * Handles SIGHUP from now on, in place of any other handler.
     *
     * @param file the configuration
     * @param loop where it is read and taken over
     * @param lastModifiedMs the file's time, looked at before the file was read: one replaced meanwhile is read again,
     *     not missed
     */
    public ConfigReload(Path file, EventLoop loop, long lastModifiedMs) {
        this.file = file;
        this.loop = loop;
        this.lastModifiedMs = lastModifiedMs;
        Signal.handle(new Signal("HUP"), signal -> loop.execute(this::reload));
    }

    /** Sets the front door that takes new configurations over; called before the loop runs, or on its thread. */
    public void attach(FrontDoor frontDoor) {
        door = frontDoor;
        frontDoor.setDiscoveryLostListener(() -> loop.execute(this::reloadIfReplaced));
    }

    /**
     * Guards the drain rule after a start: the file may be replaced once it is read and before SIGHUP can be sent;
     * discovery is then elsewhere, and nobody tells of backends that drain.
     */
    private void reloadIfReplaced() {
        if (file.toFile().lastModified() != lastModifiedMs) {
            LOG.info("discovery is gone and the configuration was replaced: reloading", null);
            reload();
        }
    }

    private void reload() {
        lastModifiedMs = file.toFile().lastModified();
        try {
            door.reload(Config.read(file));
        } catch (IllegalArgumentException e) {
            LOG.warning("the new configuration is unusable, keeping the old one", e.getMessage());
        }
    }
}
