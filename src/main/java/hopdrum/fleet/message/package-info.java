/**
 * The messages that members of a fleet exchange and the records in them: immutable, checked as they are made, with one
 * encoding as CBOR. Nothing here decides anything.
 */
package hopdrum.fleet.message;
