/** Configuration schema, parser, checks and the operators' builder library. */
package org.cowslipbank.config;
