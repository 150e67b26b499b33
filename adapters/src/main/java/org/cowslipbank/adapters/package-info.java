/**
 * HTTP clients of the external systems.
 *
 * <p>The real wire formats are not known yet. These clients use JSON over HTTP, the format of the stand-ins; a
 * deployment with other formats provides its own {@link org.cowslipbank.ports.ExternalSystems}.
 */
package org.cowslipbank.adapters;
