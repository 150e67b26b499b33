/** The command line and the daemons. */
package org.cowslipbank.cli;
