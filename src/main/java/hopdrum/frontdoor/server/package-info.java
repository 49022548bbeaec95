/**
 * The front door as a process: start-up, warm-up, reload of the configuration on SIGHUP, graceful shutdown on SIGTERM.
 * {@link hopdrum.frontdoor.server.Server} is what the command line runs. The front door itself runs on the thread that
 * calls it; signals come in on threads of the JVM's and are handed to the event loop.
 */
package hopdrum.frontdoor.server;
