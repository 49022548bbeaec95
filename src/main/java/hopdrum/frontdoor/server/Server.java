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

/** Runs a front door as a process, from its start to its end. */
public final class Server {
    private static final Log LOG = new Log("server");

    private Server() {}

    /** Is notified when the front door listens, before its loop runs. */
    private interface StartListener {
        void frontDoorStarted(Config config, EventLoop loop, FrontDoor frontDoor) throws IOException;
    }

    /**
     * Runs a front door until SIGTERM.
     *
     * @param configFile the configuration's path; null if the environment names none
     * @return the process's exit code
     */
    public static int serve(String configFile) {
        return serve(configFile, (config, loop) -> Companion.NONE);
    }

    /**
     * Runs a front door and a companion until SIGTERM.
     *
     * @param configFile the configuration's path; null if the environment names none
     * @param companionFactory starts the companion
     * @return the process's exit code
     */
    public static int serve(String configFile, Companion.Factory companionFactory) {
        ShutdownHook hook = new ShutdownHook();
        int exitCode = run(
                configFile,
                "serve",
                (config, loop) -> {
                    Companion companion = companionFactory.start(config, loop);
                    hook.setCompanion(companion);
                    return companion;
                },
                (config, loop, frontDoor) -> {
                    hook.setFrontDoor(loop, frontDoor);
                    LOG.info("serving as " + config.name(), config.listen());
                });
        if (exitCode == 0) {
            hook.markSuccessful();
        } else {
            hook.remove();
        }
        return exitCode;
    }

    /**
     * Runs a front door that responds to one readiness check and one request, without any backend, and then ends. This
     * loads the classes that a front door needs, for the class archive that the JVM writes at its exit.
     *
     * @param configFile the configuration's path; null if the environment names none
     * @return the process's exit code
     */
    public static int train(String configFile) {
        return run(
                configFile,
                "train",
                (config, loop) -> Companion.NONE,
                (config, loop, frontDoor) -> new Thread(
                                () -> {
                                    sendExampleRequests(frontDoor, config);
                                    loop.execute(loop::stop);
                                },
                                "client")
                        .start());
    }

    private static void sendExampleRequests(FrontDoor frontDoor, Config config) {
        try (Socket socket = new Socket()) {
            SocketAddress address = frontDoor.address();
            socket.connect(address);
            socket.getOutputStream().write(ExampleRequests.readinessCheckAndRequest(config));
            socket.shutdownOutput();
            socket.getInputStream().readAllBytes();
        } catch (IOException e) {
            System.err.println("hopdrum train: " + e);
        }
    }

    private static int run(
            String configFile, String command, Companion.Factory companionFactory, StartListener startListener) {
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
            Companion companion = companionFactory.start(config, loop);
            try {
                FrontDoor frontDoor = new FrontDoor(config, loop);
                reload.attach(frontDoor);
                companion.frontDoorStarted(frontDoor);
                startListener.frontDoorStarted(config, loop, frontDoor);
                loop.run();
                frontDoor.close();
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
            throw new InvalidConfigException("LB_CONFIG is not a valid path", e);
        }
    }
}
