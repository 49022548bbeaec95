package hopdrum.host;

import java.util.List;

/**
 * What a gateway is told of its deployment at start.
 *
 * @param gatewayCount the number of gateways in the tier of this gateway
 * @param ordinal this gateway's number, from 0
 * @param tickUs the granularity of the clock that clients and backends see
 * @param methods by index
 * @param plans by index
 * @param counterAvailable whether there is a counter service
 * @param counterTimeoutUs the counter service's own limit on a call
 * @param gossipAllowed whether gateways may send each other messages
 * @param settlesUnits whether backends tell the units that a request has used
 * @param maxAttempts attempts of one request, the first included
 * @param cancellationAllowed whether attempts may be cancelled
 * @param retryAfterAllowed whether a rejection may name a time to come back
 * @param maxRetryAfterUs the longest such time
 * @param hedgingAllowed whether a second attempt may be sent while the first is in flight
 * @param pollsEndpointList whether the endpoint list has to be asked for
 * @param weightIsCapacity whether the weights of endpoints are their sizes
 * @param reportFields the names of a load report's fields, in its order
 * @param slowStartInitialFraction the fraction of its capacity that a backend takes when it starts
 * @param slowStartDurationUs how long a backend's slow start takes
 * @param overloadFactor times its capacity: work beyond it in a window overloads a backend that starts
 * @param overloadWindowUs that window
 */
public record Settings(
        int gatewayCount,
        int ordinal,
        long tickUs,
        List<Method> methods,
        List<Plan> plans,
        boolean counterAvailable,
        long counterTimeoutUs,
        boolean gossipAllowed,
        boolean settlesUnits,
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
