package hopdrum.host;

import java.util.List;

/**
 * The settings of a deployment, as a gateway reads them at its start.
 *
 * @param gatewayCount the number of gateways in this gateway's tier
 * @param ordinal the number of this gateway, from 0
 * @param clockGranularityUs the granularity in microseconds of the clock that clients and backends see
 * @param methods the methods by index
 * @param plans the plans by index
 * @param counterAvailable whether there is a counter service
 * @param counterTimeoutUs the time limit of the counter service for a call, in microseconds
 * @param gossipAllowed whether gateways may send each other messages
 * @param backendsReportUnits whether backends report the units that a request has used
 * @param maxAttempts the most attempts of one request, including the first
 * @param cancellationAllowed whether attempts may be cancelled
 * @param retryAfterAllowed whether a rejection may name a time after which the client should retry
 * @param maxRetryAfterUs the longest such time in microseconds
 * @param hedgingAllowed whether a second attempt may be sent while the first is in flight
 * @param pollsEndpointList whether the endpoint list has to be polled
 * @param weightIsCapacity whether the weights of endpoints are their sizes
 * @param reportFields the names of the fields of a load report, in order
 * @param slowStartInitialFraction the fraction of its capacity that a backend can take when it starts
 * @param slowStartDurationUs the duration of a backend's slow start in microseconds
 * @param overloadFactor the multiple of its capacity that overloads a starting backend, as work within the overload
 *     window
 * @param overloadWindowUs the length of the overload window in microseconds
 */
public record Settings(
        int gatewayCount,
        int ordinal,
        long clockGranularityUs,
        List<Method> methods,
        List<Plan> plans,
        boolean counterAvailable,
        long counterTimeoutUs,
        boolean gossipAllowed,
        boolean backendsReportUnits,
        int maxAttempts,
        boolean cancellationAllowed,
        boolean retryAfterAllowed,
        long maxRetryAfterUs,
        boolean hedgingAllowed,
        boolean pollsEndpointList,
        boolean weightIsCapacity,
        List<String> reportFields,
        double slowStartInitialFraction,
        long slowStartDurationUs,
        double overloadFactor,
        long overloadWindowUs) {}
