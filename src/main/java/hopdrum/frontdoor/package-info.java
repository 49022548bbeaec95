/**
 * The front door on sockets. It accepts client connections, passes each request to {@link hopdrum.policy.Policy}, and
 * carries out Policy's decisions; it makes none itself. {@link hopdrum.frontdoor.FrontDoor} builds and runs the parts.
 * Everything runs on the event loop's thread unless a comment says otherwise. Times are in microseconds of {@link
 * hopdrum.frontdoor.lifecycle.EventLoop#nowUs()} unless a name says otherwise.
 */
package hopdrum.frontdoor;
