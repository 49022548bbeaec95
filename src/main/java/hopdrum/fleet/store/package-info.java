/**
 * The durable state of a member: its voter number, the last settled view and its votes, in one checksummed file in a
 * locked folder.
 */
package hopdrum.fleet.store;
