/** Settings of a node: JSON with comments, parsed and validated as a whole at start-up. */
package org.cowslipbank.entry.settings;
