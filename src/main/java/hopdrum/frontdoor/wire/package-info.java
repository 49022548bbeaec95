/**
 * Parses and writes messages in memory, independent of sockets: HTTP/1.1 messages of clients, backends, the counter and
 * discovery, and JSON. {@link hopdrum.frontdoor.wire.RingBuffer} holds the bytes of one direction of a connection,
 * {@link hopdrum.frontdoor.wire.HttpReader} finds the message at its front, and the other types read or write the parts
 * that one kind of peer uses. The HTTP readers accept input in pieces of any size. No type in this package is
 * thread-safe: each object belongs to the thread of its event loop.
 *
 * <p>Positions are byte offsets from the front of a ring buffer; a range includes {@code from} and excludes {@code to}.
 */
package hopdrum.frontdoor.wire;
