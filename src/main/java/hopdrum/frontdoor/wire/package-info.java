/**
 * Bytes to messages and back, without a socket: HTTP/1.1 for clients, backends, the counter and discovery, and JSON.
 * {@link hopdrum.frontdoor.wire.RingBuffer} holds one direction of a connection, {@link hopdrum.frontdoor.wire.HttpReader}
 * finds the message at its front, and the other types read or write the parts that one kind of peer uses. Every reader
 * takes its input in pieces of any size. Nothing here is thread-safe: an object belongs to the event loop's thread.
 *
 * <p>Positions are byte offsets from the front of a ring; a range takes in its {@code from} and ends before its
 * {@code to}.
 */
package hopdrum.frontdoor.wire;
