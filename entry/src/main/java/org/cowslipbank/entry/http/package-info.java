/** The HTTP API for callers, in the style of OpenAI's API: routes, parsing, responses, error bodies and authentication. */
package org.cowslipbank.entry.http;
