/** Cost, detection time and convergence of the membership protocol, on a virtual clock with the real codec. */
package org.cowslipbank.bench.membership;
