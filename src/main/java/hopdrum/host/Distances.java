package hopdrum.host;

/**
 * How far the zones that backends stand in are from here, as a fleet knows; handed out whole and never changed.
 *
 * @param roundTripUs by zone, in the settings' order: what a way there and back takes beyond the nearest, microseconds
 */
public record Distances(long[] roundTripUs) {
    public long rttUs(int zone) {
        return zone >= 0 && zone < roundTripUs.length ? roundTripUs[zone] : 0;
    }
}
