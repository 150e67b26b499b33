package org.cowslipbank.entry.relay;

import java.util.function.Supplier;

import org.cowslipbank.entry.relay.PlatformView.RegisteredNode;
import org.cowslipbank.ports.relay.MetadataStore;
import reactor.core.scheduler.Scheduler;

/**
 * State and services that the tasks of the control thread share.
 *
 * @param self this node
 * @param store the metadata store
 * @param items keys and encoding of the nodes' items in the store
 * @param view the newest view of the platform
 * @param clocks the clocks
 * @param control the control thread
 * @param log the structured log
 */
record ControlContext(
        RegisteredNode self,
        MetadataStore store,
        NodeItems items,
        Supplier<PlatformView> view,
        Clocks clocks,
        Scheduler control,
        DecisionLog log) {}
