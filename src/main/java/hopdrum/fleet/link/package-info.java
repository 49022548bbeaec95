/**
 * The TCP connections of one fleet member to its peers: one outbound connection to each address with queued messages,
 * inbound connections from peers that are admitted by their hello, and the length-prefixed frames that carry messages.
 */
package hopdrum.fleet.link;
