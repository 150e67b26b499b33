/** HTTP listeners of the node: the callers' interface in the style of OpenAI's API, error bodies and authentication. */
package org.cowslipbank.entry.http;
