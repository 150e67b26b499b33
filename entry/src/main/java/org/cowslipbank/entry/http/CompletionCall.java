package org.cowslipbank.entry.http;

/**
 * A parsed completion request.
 *
 * @param chat true for the chat interface
 * @param model the model's name, without adapter
 * @param adapter the adapter's name, empty for none
 * @param prompt the prompt's text
 * @param maxTokens the most tokens to generate
 * @param stream true for server-sent events
 * @param includeUsage true if the stream ends with token counts
 * @param sessionKey the caller's session key, empty if it gave none
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
