/** Benchmarks of single functions with JMH, run through its own API. */
package org.cowslipbank.bench.micro;
