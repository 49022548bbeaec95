/**
 * The connections of a front door and what they carry: connections from clients, pooled connections to backends,
 * connections to the counter, the requests in flight with their attempts, and the limits on descriptors and memory.
 * Everything here runs on the event loop's thread. Times are in microseconds of the event loop's clock, {@link
 * hopdrum.frontdoor.lifecycle.EventLoop#nowUs()}, unless stated otherwise.
 */
package hopdrum.frontdoor.connection;
