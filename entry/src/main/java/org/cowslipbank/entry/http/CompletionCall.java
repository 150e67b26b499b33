package org.cowslipbank.entry.http;

/**
 * A parsed completion request.
 *
 * @param chat true for a chat completion, false for a text completion
 * @param model the model's name, without adapter
 * @param adapter the adapter's name, empty for none
 * @param prompt the prompt's text
 * @param maxTokens maximum number of tokens to generate
 * @param stream true for server-sent events
 * @param includeUsage true if a final event of the stream holds the token counts
 * @param sessionKey the caller's session key, empty if there is none
 */
record CompletionCall(
        boolean chat,
        String model,
        String adapter,
        String prompt,
        int maxTokens,
        boolean stream,
        boolean includeUsage,
        String sessionKey) {}
