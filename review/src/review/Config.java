package review;

/**
 * The configuration of one front door, with settings like those of the deployment gent-main: its methods, its plans,
 * its limits and its rules, each with a figure from the range that the operators state.
 */
final class Config {
    private static final String TEXT =
            """
            {"name": "n0", "listen": "%s", "discovery": "%s", "counter": "%s", "seed": "8c1f30d27a5be964",
             "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
             "known": %s,
             "settings": {
              "NInstances": 1, "Ordinal": 0, "TickUs": 4000, "Azs": ["gent-dc1"], "Flavors": ["std-3c"],
              "Weights": "none", "RegistryMode": "push",
              "Lanes": [
               {"Name": "basin-forecast", "AimUs": 2000000, "GiveUpUs": 4000000, "Effect": "retryable"},
               {"Name": "area-status", "AimUs": 1200000, "GiveUpUs": 3000000, "Effect": "retryable"},
               {"Name": "alert-send", "AimUs": 800000, "GiveUpUs": 3000000, "Effect": "dedup", "Group": "cell",
                "WindowUs": 6000000}],
              "Packages": [
               {"Name": "basis", "PerSecond": 1.2, "Burst": 4.8},
               {"Name": "pro", "PerSecond": 8.0, "Burst": 12.0, "CapRate": 16.0, "CeilingBurst": 24.0,
                "CapSlack": 2.4}],
              "FamilyInfo": {"MayCount": true, "CountWaitUs": 50000, "Largest": 1},
              "Bounds": {"AttemptsCap": 4, "Cancel": true, "SecondCopies": true, "Peers": false, "Probes": false,
               "RetryAfter": true, "MaxRetryAfterUs": 500000, "DialTimeoutUs": 250000, "ConnIdleUs": 15000000},
              "Report": {"Fields": ["concurrent"], "Source": "probe"},
              "Rules": {"ColdFrom": 0.25, "WarmAfterUs": 18000000, "OverloadFactor": 3.0, "FallUs": 3000000,
               "StopSendingWithinUs": 500000}}}
            """;

    private Config() {}

    static String text(FrontDoor frontDoor, Discovery discovery, Counter counter) {
        return String.format(
                TEXT, frontDoor.listen(), discovery.address(), counter.address(), discovery.wholeList());
    }
}
