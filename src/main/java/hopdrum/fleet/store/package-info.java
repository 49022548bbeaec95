/**
 * A member's durable state over restarts: its voter number, the last settled view and its votes, in one checksummed
 * file in a locked folder.
 */
package hopdrum.fleet.store;
