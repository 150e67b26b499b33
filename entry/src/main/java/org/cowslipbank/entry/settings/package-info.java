/** Settings of a node: JSON with comments, checked whole at start-up. */
package org.cowslipbank.entry.settings;
