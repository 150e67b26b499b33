/**
 * Handling of suspects at a node: records which requests were in flight when an upstream crashed, and limits when and
 * where they may run again. New facts are pushed to all live nodes. One node of the region runs the arbiter, which
 * grants those runs.
 */
package org.cowslipbank.entry.suspects;
