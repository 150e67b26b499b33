package org.cowslipbank.entry.log;

import java.net.URI;

import org.apache.logging.log4j.spi.LoggerContext;
import org.apache.logging.log4j.spi.LoggerContextFactory;

/**
 * Log4j provider for nodes on the platform: JSON lines on standard output. The provider of {@code log4j-core} spends a
 * third of a node's start on plugins and configuration that a node does not use. Selected with the system property
 * {@code log4j2.loggerContextFactory}.
 */
public final class JsonLineLoggerContextFactory implements LoggerContextFactory {
    private final JsonLineLoggerContext context = new JsonLineLoggerContext(System.out);

    /** Creates the factory; called by Log4j. */
    public JsonLineLoggerContextFactory() {}

    @Override
    public LoggerContext getContext(String caller, ClassLoader loader, Object externalContext, boolean currentContext) {
        return context;
    }

    @Override
    public LoggerContext getContext(
            String caller,
            ClassLoader loader,
            Object externalContext,
            boolean currentContext,
            URI configuration,
            String name) {
        return context;
    }

    @Override
    public void removeContext(LoggerContext removed) {
        // There is a single context, which lasts as long as the process.
    }

    @Override
    public boolean isClassLoaderDependent() {
        return false;
    }
}
