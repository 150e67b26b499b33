package org.cowslipbank.standins;

/** Makes a stand-in respond with the given HTTP status and an empty body. */
final class StatusException extends Exception {
    private static final long serialVersionUID = 1L;

    private final int status;

    StatusException(int status) {
        super("HTTP status " + status, null, false, false);
        this.status = status;
    }

    int status() {
        return status;
    }
}
