/**
 * Peer connections of one fleet member over TCP: one outbound connection to each peer address that has something
 * queued, inbound connections from peers admitted by their hello, and the length-prefixed frames that carry messages.
 */
package hopdrum.fleet.link;
