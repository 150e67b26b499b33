/** Prompt handling: admission, routing, the answer stream, retries, and retention of cached blocks. */
package org.cowslipbank.entry.traffic;
