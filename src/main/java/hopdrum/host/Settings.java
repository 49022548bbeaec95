package hopdrum.host;

import java.util.List;

/** What a gateway is told of its deployment at start. */
public record Settings(
        int gateways,
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
