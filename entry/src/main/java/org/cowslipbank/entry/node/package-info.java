/** The entry node: creates the services, connects them to the fleet, and starts and stops them in order. */
package org.cowslipbank.entry.node;
