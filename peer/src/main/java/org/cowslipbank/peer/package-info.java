/** TCP framing with MessagePack between nodes. */
package org.cowslipbank.peer;
