package hopdrum.frontdoor.server;

import hopdrum.frontdoor.FrontDoor;
import hopdrum.frontdoor.lifecycle.Config;
import hopdrum.frontdoor.lifecycle.EventLoop;
import hopdrum.frontdoor.lifecycle.InvalidConfigException;
import hopdrum.frontdoor.lifecycle.Log;
import java.io.File;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketAddress;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;

/** Runs one front door from its start to its end: the process as the operators see it. */
public final class Server {
    private static final Log LOG = new Log("server");

    private Server() {}

    /** Called once the front door listens, before its loop runs. */
    private interface StartListener {
        void started(Config config, EventLoop loop, FrontDoor door) throws IOException;
    }

    /**
     * Runs until SIGTERM.
     *
     * @param configFile the configuration's path; null if the environment names none
     * @return the process's exit code
     */
    public static int serve(String configFile) {
        return serve(configFile, (config, loop) -> Companion.NONE);
    }

    /**
     * Runs until SIGTERM, with a companion.
     *
     * @param configFile the configuration's path; null if the environment names none
     * @return the process's exit code
     */
    public static int serve(String configFile, Companion.Factory companions) {
        ShutdownHook hook = new ShutdownHook();
        int exitCode = run(
                configFile,
                "serve",
                (config, loop) -> {
                    Companion companion = companions.start(config, loop);
                    hook.companionStarted(companion);
                    return companion;
                },
                (config, loop, door) -> {
                    hook.serving(loop, door);
                    LOG.info("serving as " + config.name(), config.listen());
                });
        if (exitCode == 0) {
            hook.completed();
        } else {
            hook.remove();
        }
        return exitCode;
    }

    /**
     * Starts, answers one readiness check and one RPC without any backend, and ends: so that the classes that a front
     * door needs are loaded, for the class archive that the JVM writes at its exit.
     *
     * @param configFile the configuration's path; null if the environment names none
     * @return the process's exit code
     */
    public static int train(String configFile) {
        return run(
                configFile,
                "train",
                (config, loop) -> Companion.NONE,
                (config, loop, door) -> new Thread(
                                () -> {
                                    sendExamples(door, config);
                                    loop.execute(loop::stop);
                                },
                                "client")
                        .start());
    }

    private static void sendExamples(FrontDoor door, Config config) {
        try (Socket socket = new Socket()) {
            SocketAddress address = door.address();
            socket.connect(address);
            socket.getOutputStream().write(ExampleRequests.readinessCheckAndRpc(config));
            socket.shutdownOutput();
            socket.getInputStream().readAllBytes();
        } catch (IOException e) {
            System.err.println("hopdrum train: " + e);
        }
    }

    private static int run(
            String configFile, String command, Companion.Factory companions, StartListener startListener) {
        long lastModifiedMs = configFile == null ? 0 : new File(configFile).lastModified();
        Config config;
        try {
            config = readConfig(configFile);
        } catch (IllegalArgumentException e) {
            System.err.println("hopdrum " + command + ": " + e.getMessage().replace('\n', ' '));
            return 1;
        }
        try {
            EventLoop loop = new EventLoop();
            ConfigReload reload = new ConfigReload(Path.of(configFile), loop, lastModifiedMs);
            Warmup.run(config);
            Companion companion = companions.start(config, loop);
            try {
                FrontDoor door = new FrontDoor(config, loop);
                reload.attach(door);
                companion.frontDoorStarted(door);
                startListener.started(config, loop, door);
                loop.run();
                door.close();
                loop.close();
            } finally {
                companion.close();
            }
            LOG.info("ended", null);
            return 0;
        } catch (IOException e) {
            System.err.println("hopdrum " + command + ": " + e);
            return 1;
        }
    }

    private static Config readConfig(String configFile) {
        if (configFile == null) {
            throw new InvalidConfigException("LB_CONFIG does not name the configuration");
        }
        try {
            return Config.read(Path.of(configFile));
        } catch (InvalidPathException e) {
            throw new InvalidConfigException("LB_CONFIG is no path", e);
        }
    }
}
