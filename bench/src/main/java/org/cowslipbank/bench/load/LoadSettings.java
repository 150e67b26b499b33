package org.cowslipbank.bench.load;

import java.util.List;

/**
 * Settings of a load run.
 *
 * @param addresses addresses of running nodes as {@code IP:port}, among which requests are spread
 * @param teams teams that send requests, used round-robin
 * @param model name of the requested model
 * @param requestsPerSecond mean arrival rate over all teams; arrivals are a Poisson process
 * @param warmUpSeconds length of the warm-up, which is not measured; the rate ramps up over its first 60%
 * @param measureSeconds length of the measured time
 * @param promptBytes length of the first prompt of a session; each later turn adds 5% of it
 * @param maxTokens tokens to generate per answer
 * @param returnGapMillis time from one request of a session to its next; zero for sessions of one request
 * @param turns number of requests per session
 * @param seed seed of the arrivals
 */
public record LoadSettings(
        List<String> addresses,
        List<LoadTeam> teams,
        String model,
        double requestsPerSecond,
        int warmUpSeconds,
        int measureSeconds,
        int promptBytes,
        int maxTokens,
        long returnGapMillis,
        int turns,
        long seed) {
    /**
     * Makes unmodifiable copies of the lists; null elements are rejected with NullPointerException.
     *
     * @throws IllegalArgumentException if there is no address or team, or if the rate or the measured time is not positive
     */
    public LoadSettings {
        addresses = List.copyOf(addresses);
        teams = List.copyOf(teams);
        if (addresses.isEmpty() || teams.isEmpty() || requestsPerSecond <= 0 || measureSeconds <= 0) {
            throw new IllegalArgumentException(
                    "load settings need an address, a team, a positive request rate and a positive measured time");
        }
    }

    /**
     * A team that sends requests.
     *
     * @param name the team's name
     * @param bearerKey the team's bearer key
     */
    public record LoadTeam(String name, String bearerKey) {
        @Override
        public String toString() {
            return name;
        }
    }
}
