package org.cowslipbank.model.relay;

import java.util.List;

/**
 * Size and parts of a prompt as stated by the request; the text itself is opaque.
 *
 * @param model the model's name
 * @param promptTokens length of the prompt in tokens
 * @param maxOutputTokens largest length of the answer in tokens
 * @param parts the prompt's parts in order; the last one belongs to this request or its session
 */
public record PromptShape(String model, int promptTokens, int maxOutputTokens, List<PromptPart> parts) {
    /** Makes an unmodifiable copy of the list; null elements are rejected with NullPointerException. */
    public PromptShape {
        parts = List.copyOf(parts);
    }

    /**
     * Returns the parts that other requests may have in common with this one.
     *
     * @return all parts but the last
     */
    public List<PromptPart> sharedParts() {
        return parts.isEmpty() ? parts : parts.subList(0, parts.size() - 1);
    }

    /**
     * Returns the number of tokens that other requests may have in common with this one.
     *
     * @return the sum over the shared parts
     */
    public int sharedTokens() {
        int tokens = 0;
        for (int index = 0; index < parts.size() - 1; index++) {
            tokens += parts.get(index).tokens();
        }
        return tokens;
    }

    /**
     * Returns the key by which requests with the same shared prompt are routed to the same service and upstreams.
     *
     * @return the identifier of the last shared part, or of the only part; empty text without parts
     */
    public String affinityKey() {
        if (parts.isEmpty()) {
            return "";
        }
        return parts.get(Math.max(0, parts.size() - 2)).id();
    }
}
