/**
 * The interface between the policy and the front door that it runs in: the settings, the values of events, and {@link
 * hopdrum.host.Host}, through which the policy acts. This package contains no decisions and no I/O. Times are in
 * microseconds.
 */
package hopdrum.host;
