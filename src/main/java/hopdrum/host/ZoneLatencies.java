package hopdrum.host;

/**
 * How far the zones that backends stand in are from here, as a fleet knows; handed out whole and never changed.
 *
 * @param roundTripUs by zone, in the settings' order: what a way there and back takes beyond the nearest, microseconds
 */
public record ZoneLatencies(long[] roundTripUs) {
    public long roundTripUs(int zone) {
        return zone >= 0 && zone < roundTripUs.length ? roundTripUs[zone] : 0;
    }
}
