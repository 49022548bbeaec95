/**
 * What a front door runs on: the configuration, the event loop, TCP connections and the log. {@link
 * hopdrum.frontdoor.lifecycle.EventLoop} is one thread that waits for sockets and timers; all else here belongs to it,
 * except where a method says that it may be called from any thread. Times are microseconds of the loop's clock.
 */
package hopdrum.frontdoor.lifecycle;
