/**
 * Records, identifiers and checked exceptions shared by all modules.
 *
 * <p>The module depends only on the JDK, so that decision code and adapters can share these types.
 */
package org.cowslipbank.model;
