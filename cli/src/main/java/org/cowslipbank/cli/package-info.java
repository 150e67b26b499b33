/** The command line, including the commands that run nodes and stand-ins. */
package org.cowslipbank.cli;
