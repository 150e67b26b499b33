/** Experiment on the configuration: time until in force, platform calls, outages and restart storms by fleet size. */
package org.cowslipbank.bench.config;
