/** Configuration model with its schema, parser, checks and printer, and the operators' builder library. */
package org.cowslipbank.config;
