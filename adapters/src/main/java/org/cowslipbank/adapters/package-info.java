/**
 * HTTP adapters to the outside systems.
 *
 * <p>The real wire formats are not known yet. These adapters speak JSON over HTTP, the format of the stand-ins; a
 * deployment with other formats supplies its own {@link org.cowslipbank.ports.OutsideSystems}.
 */
package org.cowslipbank.adapters;
