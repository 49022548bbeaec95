/**
 * What members of a fleet say to each other: plain records, checked as they are made, and their one form as bytes.
 * Nothing here decides anything.
 */
package hopdrum.fleet.message;
