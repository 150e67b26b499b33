package org.cowslipbank.model.relay;

import java.util.List;

/**
 * What a request says of its prompt without its text.
 *
 * @param model the model's name
 * @param promptTokens tokens of the prompt
 * @param maxOutputTokens the most tokens of the answer
 * @param parts the prompt's parts in order; the last one belongs to this request or its session
 */
public record PromptShape(String model, int promptTokens, int maxOutputTokens, List<PromptPart> parts) {
    /** Copies the list. */
    public PromptShape {
        parts = List.copyOf(parts);
    }

    /**
     * Returns the parts that other requests share.
     *
     * @return all parts but the last
     */
    public List<PromptPart> sharedParts() {
        return parts.isEmpty() ? parts : parts.subList(0, parts.size() - 1);
    }

    /**
     * Returns the name under which requests with the same shared prompt are placed together.
     *
     * @return the identifier of the last shared part, or of the only part; empty without parts
     */
    public String affinityKey() {
        if (parts.isEmpty()) {
            return "";
        }
        return parts.get(Math.max(0, parts.size() - 2)).id();
    }
}
