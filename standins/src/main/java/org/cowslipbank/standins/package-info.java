/** Stand-ins for the outside systems, with fault switches. */
package org.cowslipbank.standins;
