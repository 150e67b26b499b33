/** Traffic handling: how one request of a caller is run, relayed and its cache kept. */
package org.cowslipbank.entry.traffic;
