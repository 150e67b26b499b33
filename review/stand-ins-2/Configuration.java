import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The operator's configuration of the cases: one plain service, one service of engines and three routes. */
final class Configuration {
    static final String HOST = "h.example";

    private Configuration() {}

    /** Adds a managed store of KV cache. */
    @SuppressWarnings("unchecked")
    static Map<String, Object> withStore(Map<String, Object> configuration, String name, String address) {
        List<Object> services = new ArrayList<>((List<Object>) configuration.get("Services"));
        services.add(Json.map(
                "Name", name,
                "KvStoreAddr", address,
                "Zone", "a",
                "KvCapacity", 645_433,
                "MaxInFlight", 32,
                "Managed", true));
        configuration.put("Services", services);
        return configuration;
    }

    static Map<String, Object> of(long version, Map<String, List<String>> keysByTenant) {
        List<Object> tenants = new ArrayList<>();
        keysByTenant.forEach((name, keys) -> tenants.add(Json.map("Name", name, "ApiKeys", keys, "Isolated", false)));
        return Json.map(
                "Version", version,
                "Routes",
                        List.of(
                                route("read", "/read/", "idempotent", "app", 2),
                                route("order", "/order/", "non_idempotent", "app", 1),
                                stream()),
                "Services",
                        List.of(
                                Json.map("Name", "app", "MaxConnections", 110, "HealthPath", "/health"),
                                Json.map(
                                        "Name", "llm",
                                        "MaxConnections", 370,
                                        "HealthPath", "/health",
                                        "Engine",
                                                Json.map(
                                                        "Slots", 64,
                                                        "KvCapacity", 120_208,
                                                        "KvTokenBytes", 163_840,
                                                        "LinkMbps", 180_000,
                                                        "Models", List.of(Json.map("Name", "m"))))),
                "Tenants", tenants,
                "Limits",
                        Json.map(
                                "MaxHeaderBytes", 16_384,
                                "MaxBodyBytes", 4_194_304,
                                "HeaderTimeoutMs", 5_000,
                                "IdleTimeoutMs", 15_000));
    }

    private static Map<String, Object> route(String name, String prefix, String kind, String service, int attempts) {
        return Json.map(
                "Name", name,
                "Host", HOST,
                "PathPrefix", prefix,
                "RouteKind", kind,
                "Service", service,
                "MaxAttempts", attempts,
                "TimeoutMs", 12_000,
                "TargetLatencyMs", 300,
                "Priority", 1);
    }

    private static Map<String, Object> stream() {
        Map<String, Object> route = route("stream", "/stream/", "streaming", "llm", 2);
        route.put("Resumable", true);
        route.put("GapAimMs", 200);
        route.put("Sticky", true);
        return route;
    }
}
