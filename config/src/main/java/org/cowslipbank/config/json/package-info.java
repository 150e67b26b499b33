/** JSON mapping of the identifiers that all modules share. */
package org.cowslipbank.config.json;
