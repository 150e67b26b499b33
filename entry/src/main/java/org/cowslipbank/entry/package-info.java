/** The entry node: HTTP listeners, adapters, the control loop and traffic handling. */
package org.cowslipbank.entry;
