/**
 * The front door as a process: start-up, warm-up, configuration reload on SIGHUP, graceful shutdown on SIGTERM. The
 * command line runs {@link hopdrum.frontdoor.server.Server}, and the event loop runs on the thread that calls Server.
 * Signals arrive on threads of the JVM and are handed to the event loop.
 */
package hopdrum.frontdoor.server;
