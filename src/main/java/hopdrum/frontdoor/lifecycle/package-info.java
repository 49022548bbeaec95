/**
 * The runtime of a front door: its configuration, event loop, TCP connections and log. {@link
 * hopdrum.frontdoor.lifecycle.EventLoop} runs on one thread and waits for sockets and timers. Everything else here is
 * used on that thread only, except where a method says that it may be called from any thread. Times are in microseconds
 * of the event loop's clock.
 */
package hopdrum.frontdoor.lifecycle;
