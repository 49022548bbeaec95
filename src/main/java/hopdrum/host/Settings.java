package hopdrum.host;

import java.util.List;

/** What a gateway is told of its deployment at start. */
public record Settings(
        int gateways,
        int ordinal,
        long tickUs,
        List<Method> methods,
        List<Plan> plans,
        boolean mayCount,
        long countWaitUs,
        boolean mayTell,
        boolean settles,
        int mostAttempts,
        boolean mayCancel,
        boolean retryAfter,
        long mostRetryAfterUs,
        boolean secondCopies,
        boolean mustAskForList,
        boolean weightIsSize,
        List<String> reportFields,
        double coldFrom,
        long warmAfterUs,
        double coldFactor,
        long coldWindowUs) {}
