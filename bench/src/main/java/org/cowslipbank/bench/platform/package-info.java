/** Virtual clock and a fake key-value service for experiments that need neither threads nor real time. */
package org.cowslipbank.bench.platform;
