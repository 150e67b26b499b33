package org.cowslipbank.entry.relay;

import java.util.function.Supplier;

import org.cowslipbank.entry.relay.PlatformView.RegisteredNode;
import org.cowslipbank.ports.relay.MetadataStore;
import reactor.core.scheduler.Scheduler;

/**
 * What the tasks of the control thread work with.
 *
 * @param self this node
 * @param store the metadata store
 * @param items keys and values of the nodes' own items
 * @param view the newest view of the platform
 * @param clocks the clocks
 * @param control the control thread
 * @param log the log of decisions
 */
record ControlParts(
        RegisteredNode self,
        MetadataStore store,
        OwnItems items,
        Supplier<PlatformView> view,
        Clocks clocks,
        Scheduler control,
        DecisionLog log) {}
