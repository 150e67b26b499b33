/**
 * Applies the decisions on suspects in a node: which requests were in flight when an upstream crashed, and when they may
 * run again. Facts are pushed to all live nodes when they arise. One node of the region holds the arbiter.
 */
package org.cowslipbank.entry.suspects;
