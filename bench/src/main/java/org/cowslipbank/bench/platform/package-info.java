/** Virtual clock and fake key-value service, for experiments without threads and real time. */
package org.cowslipbank.bench.platform;
