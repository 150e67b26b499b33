package org.cowslipbank.bench.load;

import java.util.List;

/**
 * What the load tool sends.
 *
 * @param addresses addresses of running nodes as {@code IP:port}, used in turn
 * @param teams the teams, used in turn
 * @param model the model to ask for
 * @param requestsPerSecond mean rate of arrivals over all teams; their gaps are exponential
 * @param warmUpSeconds time before anything is measured; the rate rises to its full value over the first 60% of it
 * @param measureSeconds time measured
 * @param promptBytes length of a session's first prompt; every return adds a twentieth
 * @param maxTokens tokens of each answer
 * @param returnGapMillis time from a session's request to its return; zero for sessions that do not return
 * @param turns requests of a session
 * @param seed seed of arrivals and prompts
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
     * Copies the lists.
     *
     * @throws IllegalArgumentException if there is no address, no team or no positive rate or time
     */
    public LoadSettings {
        addresses = List.copyOf(addresses);
        teams = List.copyOf(teams);
        if (addresses.isEmpty() || teams.isEmpty() || requestsPerSecond <= 0 || measureSeconds <= 0) {
            throw new IllegalArgumentException("addresses, teams, a rate and a time to measure are required");
        }
    }

    /**
     * A team of the load.
     *
     * @param name the team's name
     * @param bearerKey its key
     */
    public record LoadTeam(String name, String bearerKey) {
        @Override
        public String toString() {
            return name;
        }
    }
}
