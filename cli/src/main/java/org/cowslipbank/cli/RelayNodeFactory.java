package org.cowslipbank.cli;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.cowslipbank.entry.relay.Clocks;
import org.cowslipbank.entry.relay.RelayNode;
import org.cowslipbank.platform.EngineClient;
import org.cowslipbank.platform.HttpRelayCodec;
import org.cowslipbank.platform.MetadataItemDecoder;
import org.cowslipbank.platform.MetadataStoreClient;
import org.cowslipbank.platform.PlatformHttp;
import org.cowslipbank.ports.relay.RelaySettings;
import reactor.netty.resources.LoopResources;

/** Creates relay nodes on the adapters to the platform. */
final class RelayNodeFactory {
    private RelayNodeFactory() {}

    /**
     * Creates a node that is not started.
     *
     * @param settings the node's settings
     * @param loops event loops of the node's connections
     * @return the node
     */
    static RelayNode create(RelaySettings settings, LoopResources loops) {
        PlatformHttp http = new PlatformHttp(loops);
        RelayNode.Platform platform = new RelayNode.Platform(
                new MetadataStoreClient(http, settings.storeAddress()),
                new MetadataItemDecoder(),
                new EngineClient(http),
                new HttpRelayCodec());
        MetricRegistry metrics = new MetricRegistry();
        metrics.register("platform.oversizedAnswers", (Gauge<Long>) http::oversizedAnswers);
        return new RelayNode(settings, platform, loops, Clocks.SYSTEM, metrics);
    }
}
