/**
 * Records, identifiers and checked errors that every module shares.
 *
 * <p>The module depends on the JDK alone, so that decisions and adapters agree on the same types.
 */
package org.cowslipbank.model;
