/**
 * The messages that members of a fleet exchange, the records in them and their encoding as CBOR. Messages and records
 * are immutable and are validated on construction. This package contains no protocol logic.
 */
package hopdrum.fleet.message;
