/**
 * What the decision module and the front door that it runs in say to each other: the settings, the events' values and
 * {@link hopdrum.host.Host}, the calls back. Values only; no decisions and no I/O. Times are microseconds.
 */
package hopdrum.host;
