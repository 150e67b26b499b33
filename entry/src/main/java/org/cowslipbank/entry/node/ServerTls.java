package org.cowslipbank.entry.node;

import javax.net.ssl.SSLException;

import java.io.File;

import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import org.cowslipbank.entry.settings.TlsSettings;
import org.cowslipbank.model.ConfigurationException;
import reactor.netty.http.server.HttpServer;

/** Configures TLS on the HTTP listeners. */
final class ServerTls {
    private ServerTls() {}

    static HttpServer secure(HttpServer server, TlsSettings tls) throws ConfigurationException {
        try {
            SslContext context = SslContextBuilder.forServer(new File(tls.certificateFile()), new File(tls.keyFile()))
                    .build();
            return server.secure(spec -> spec.sslContext(context));
        } catch (SSLException | IllegalArgumentException e) {
            throw new ConfigurationException(
                    tls.certificateFile(), 0, "$.tls", "cannot load the TLS certificate or key: " + e.getMessage());
        }
    }
}
