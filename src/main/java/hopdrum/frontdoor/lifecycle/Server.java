package hopdrum.frontdoor.lifecycle;

import hopdrum.frontdoor.FrontDoor;
import java.io.File;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;

/** Start and end of one front door: the process as the operators see it. */
public final class Server {
    private static final Log LOG = new Log("server");

    private static volatile int exitCode = 1; // until the loop has ended as it should

    private Server() {}

    /**
     * A start, one look at readiness and one RPC, and the end, among nobody: so that the classes that a front door
     * needs are loaded, for the archive that the JVM writes as it ends.
     */
    public static int train(String configFile) {
        return run(configFile, "train", (config, loop) -> null, (loop, config, door) -> {
            new Thread(
                            () -> {
                                try (Socket socket = new Socket()) {
                                    socket.connect(door.address());
                                    socket.getOutputStream().write(Warmup.examples(config));
                                    socket.shutdownOutput();
                                    socket.getInputStream().readAllBytes();
                                } catch (IOException e) {
                                    System.err.println("hopdrum train: " + e);
                                }
                                loop.ask(loop::stop);
                            },
                            "client")
                    .start();
        });
    }

    /** What runs beside the front door, on threads of its own: told of SIGTERM, closed once the loop has ended. */
    public interface Beside {
        /** The front door is there; its loop runs from now on. */
        void serves(FrontDoor door);

        void stopping();

        void close() throws IOException;
    }

    /**
     * Starts what runs beside the front door, null for nothing; an IOException ends the start. It comes before the front door
     * listens: guards against clients that connect and wait while classes are loaded.
     */
    public interface Besides {
        Beside start(Config config, EventLoop loop) throws IOException;
    }

    /** Runs until SIGTERM. */
    public static int serve(String configFile) {
        return serve(configFile, (config, loop) -> null);
    }

    /** The same with something beside. */
    public static int serve(String configFile, Besides besides) {
        Ending ending = new Ending();
        int code = run(
                configFile,
                "serve",
                (config, loop) -> {
                    Beside beside = besides.start(config, loop);
                    ending.has(beside);
                    return beside;
                },
                (loop, config, door) -> {
                    ending.serves(loop, door);
                    LOG.info("serving as " + config.name(), config.listen());
                });
        if (code != 0) {
            ending.isMoot();
        }
        return code;
    }

    /**
     * SIGTERM, handled from the start on: a process that is told to end before it listens ends at once, as a success;
     * later it ends once its loop has.
     */
    private static final class Ending {
        private final Thread starter = Thread.currentThread();
        private final Thread hook = new Thread(this::told, "on-sigterm");
        private EventLoop loop;
        private FrontDoor door;
        private Beside beside;

        Ending() {
            Runtime.getRuntime().addShutdownHook(hook);
        }

        synchronized void serves(EventLoop ofLoop, FrontDoor ofDoor) {
            loop = ofLoop;
            door = ofDoor;
        }

        synchronized void has(Beside ofBeside) {
            beside = ofBeside;
        }

        /** The start has failed: leaving is no success. */
        void isMoot() {
            try {
                Runtime.getRuntime().removeShutdownHook(hook);
            } catch (IllegalStateException e) {
                Runtime.getRuntime().halt(1); // told to end meanwhile: that waits for this thread, and an exit for that
            }
        }

        private void told() {
            synchronized (this) {
                if (beside != null) {
                    beside.stopping();
                }
                if (door == null) {
                    Runtime.getRuntime().halt(0);
                }
                loop.ask(door::stop);
            }
            try {
                starter.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            Runtime.getRuntime().halt(exitCode);
        }
    }

    /**
     * SIGHUP: the configuration is read anew, any number of times. Handled from the start, since a JVM ends on a SIGHUP
     * that nothing handles; one that comes early waits in the loop. A file that cannot be used changes nothing.
     */
    public static final class Reload {
        private final Path file;
        private final EventLoop loop;
        private long writtenMs; // when the file that was read last had been written
        private FrontDoor door; // known before the loop runs

        /** The time is looked at before the file is read: one replaced meanwhile is read again, not missed. */
        public Reload(Path file, EventLoop loop, long writtenMs) {
            this.file = file;
            this.loop = loop;
            this.writtenMs = writtenMs;
            sun.misc.Signal.handle(new sun.misc.Signal("HUP"), signal -> loop.ask(this::read));
        }

        public void follows(FrontDoor of) {
            door = of;
            of.setDiscoveryLostListener(() -> loop.ask(this::readIfReplaced));
        }

        /**
         * Guards the drain rule after a start: the file may be replaced once it is read and before SIGHUP can be
         * sent; discovery is then elsewhere, and nobody tells of backends that drain.
         */
        private void readIfReplaced() {
            if (file.toFile().lastModified() != writtenMs) {
                LOG.info("discovery has left and the configuration was replaced: read anew", null);
                read();
            }
        }

        private void read() {
            writtenMs = file.toFile().lastModified();
            try {
                door.reload(Config.read(file));
            } catch (IllegalArgumentException e) {
                LOG.warning("the new configuration cannot be used, the old one stands", e.getMessage());
            }
        }
    }

    private interface WhenUp {
        void up(EventLoop loop, Config config, FrontDoor door) throws IOException;
    }

    /** The exit code is the process's. */
    private static int run(String configFile, String command, Besides besides, WhenUp whenUp) {
        long writtenMs = configFile == null ? 0 : new File(configFile).lastModified();
        Config config = config(configFile, command);
        if (config == null) {
            return 1;
        }
        try {
            EventLoop loop = new EventLoop();
            Reload reload = new Reload(Path.of(configFile), loop, writtenMs);
            Warmup.run(config);
            Beside beside = besides.start(config, loop);
            try {
                FrontDoor door = new FrontDoor(config, loop);
                reload.follows(door);
                if (beside != null) {
                    beside.serves(door);
                }
                whenUp.up(loop, config, door);
                loop.run();
                door.close();
                loop.close();
            } finally {
                if (beside != null) {
                    beside.close();
                }
            }
            LOG.info("ended", null);
            exitCode = 0;
            return 0;
        } catch (IOException e) {
            System.err.println("hopdrum " + command + ": " + e);
            return 1;
        }
    }

    /** Null, and one line said, where the configuration cannot be used. */
    private static Config config(String configFile, String command) {
        try {
            if (configFile == null) {
                throw new IllegalArgumentException("LB_CONFIG does not name the configuration");
            }
            return Config.read(Path.of(configFile));
        } catch (IllegalArgumentException e) {
            String why = e instanceof InvalidPathException ? "LB_CONFIG is no path" : e.getMessage();
            System.err.println("hopdrum " + command + ": " + why.replace('\n', ' '));
            return null;
        }
    }
}
