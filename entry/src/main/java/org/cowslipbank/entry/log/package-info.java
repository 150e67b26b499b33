/** Structured log events with the fields that all log lines share. */
package org.cowslipbank.entry.log;
