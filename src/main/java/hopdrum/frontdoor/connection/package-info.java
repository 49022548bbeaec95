/**
 * The front door's connections and what they carry: connections of clients, pooled connections to backends, connections
 * to the counter, the requests in flight with their attempts, and the limits on descriptors and memory. Everything here
 * runs on the event loop's thread. Times are microseconds of {@link hopdrum.frontdoor.lifecycle.EventLoop#nowUs()}.
 */
package hopdrum.frontdoor.connection;
