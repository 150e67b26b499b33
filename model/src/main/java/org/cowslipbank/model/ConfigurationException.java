package org.cowslipbank.model;

/** Invalid settings or configuration. The message names the file, the line, the JSON path and the expected value. */
public final class ConfigurationException extends CowslipbankException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an error.
     *
     * @param file the file or source
     * @param line the line, from one; zero if unknown
     * @param path the JSON path of the invalid value, such as {@code $.teams[2].name}
     * @param expected what is wrong and what is expected instead
     */
    public ConfigurationException(String file, int line, String path, String expected) {
        super(ProcessingStep.CONFIGURE, "", RunState.NOT_RUN, file + ":" + line + ": " + path + ": " + expected, null);
    }
}
