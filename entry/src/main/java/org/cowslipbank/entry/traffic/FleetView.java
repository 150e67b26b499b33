package org.cowslipbank.entry.traffic;

import java.util.List;
import java.util.Set;

import org.cowslipbank.config.TeamLimits;
import org.cowslipbank.model.UpstreamId;
import org.cowslipbank.model.VmId;

/** What traffic needs to know about the fleet. Implementations return immutable snapshots. */
public interface FleetView {
    /**
     * Returns the upstreams that are known to be leaving, beyond what the configuration says.
     *
     * @return the upstreams
     */
    Set<UpstreamId> leavingUpstreams();

    /**
     * Returns the distance to an upstream.
     *
     * @param upstream the upstream
     * @return the one-way distance in milliseconds
     */
    double distanceMillis(UpstreamId upstream);

    /**
     * Returns this node.
     *
     * @return the VM
     */
    VmId self();

    /**
     * Returns the nodes that take work, this one included.
     *
     * @return the VMs
     */
    List<VmId> nodes();

    /**
     * Returns the number of nodes that serve a team and share its limits.
     *
     * @param limits the team's limits
     * @return the number, at least one
     */
    int teamNodes(TeamLimits limits);
}
