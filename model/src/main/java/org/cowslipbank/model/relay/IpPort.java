package org.cowslipbank.model.relay;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The text form of an IPv4 address with a port, {@code IP:port}. */
public final class IpPort {
    private static final Pattern FORM =
            Pattern.compile("([0-9]{1,3})\\.([0-9]{1,3})\\.([0-9]{1,3})\\.([0-9]{1,3}):([0-9]{1,5})");
    private static final int ADDRESS_BYTES = 4;
    private static final int MAX_BYTE = 255;
    private static final int MAX_PORT = 65_535;

    private IpPort() {}

    /**
     * Returns whether a connection can be opened to an address without a look-up. Names are not valid, because looking them
     * up would block the traffic thread.
     *
     * @param text the address
     * @return true for an IPv4 address with a port from 1 to 65535
     */
    public static boolean isValid(String text) {
        Matcher parts = FORM.matcher(text);
        if (!parts.matches()) {
            return false;
        }
        for (int part = 1; part <= ADDRESS_BYTES; part++) {
            if (Integer.parseInt(parts.group(part)) > MAX_BYTE) {
                return false;
            }
        }
        int port = Integer.parseInt(parts.group(ADDRESS_BYTES + 1));
        return port >= 1 && port <= MAX_PORT;
    }
}
