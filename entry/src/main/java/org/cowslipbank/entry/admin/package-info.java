/** The operators' HTTP interface: configuration, audit trail, status, drain, health and metrics. */
package org.cowslipbank.entry.admin;
