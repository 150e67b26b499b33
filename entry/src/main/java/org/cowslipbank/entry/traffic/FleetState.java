package org.cowslipbank.entry.traffic;

import java.util.List;
import java.util.Set;

import org.cowslipbank.config.TeamLimits;
import org.cowslipbank.model.UpstreamId;
import org.cowslipbank.model.VmId;

/** The state of the fleet as seen by traffic handling. Implementations return immutable snapshots. */
public interface FleetState {
    /**
     * Returns the upstreams known to be leaving, in addition to those that the configuration marks as leaving.
     *
     * @return their identifiers
     */
    Set<UpstreamId> leavingUpstreams();

    /**
     * Returns the network distance to an upstream.
     *
     * @param upstream the upstream
     * @return the one-way latency in milliseconds
     */
    double distanceMillis(UpstreamId upstream);

    /**
     * Returns the identity of this node.
     *
     * @return the VM of this node
     */
    VmId self();

    /**
     * Returns the nodes that accept requests, including this one.
     *
     * @return the VMs of the nodes
     */
    List<VmId> nodes();

    /**
     * Returns the number of nodes that serve a team and share its limits.
     *
     * @param limits the team's limits
     * @return the number of nodes, at least one
     */
    int teamNodeCount(TeamLimits limits);
}
