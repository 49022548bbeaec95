/**
 * One front door on sockets: it accepts clients, has {@link hopdrum.policy.Policy} decide about their requests, and
 * carries out what Policy asks for. {@link hopdrum.frontdoor.FrontDoor} builds and runs its parts. Nothing is decided
 * here. Everything runs on the event loop's thread unless a comment says otherwise; times are microseconds of {@link
 * hopdrum.frontdoor.lifecycle.EventLoop#nowUs()} unless a name says otherwise.
 */
package hopdrum.frontdoor;
