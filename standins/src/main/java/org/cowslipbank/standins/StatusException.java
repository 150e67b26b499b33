package org.cowslipbank.standins;

/** Makes a stand-in answer with an HTTP status and no body. */
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
