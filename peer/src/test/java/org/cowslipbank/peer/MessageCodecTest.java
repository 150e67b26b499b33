package org.cowslipbank.peer;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.UpstreamId;
import org.cowslipbank.model.VmId;
import org.cowslipbank.model.fleet.FleetDigest;
import org.cowslipbank.model.fleet.GossipPayload;
import org.cowslipbank.model.fleet.LoadFact;
import org.cowslipbank.model.fleet.MemberFact;
import org.cowslipbank.model.fleet.MemberStatus;
import org.cowslipbank.model.fleet.ReachabilityFact;
import org.cowslipbank.model.fleet.SuspectFact;
import org.cowslipbank.model.fleet.UpstreamFact;

class MessageCodecTest {
    private static final VmId VM = new VmId("a-entry-1");
    private static final DataCentreId DATA_CENTRE = new DataCentreId("mu-west-a");
    private static final GossipPayload FACTS = new GossipPayload(
            List.of(new MemberFact(
                    VM, DATA_CENTRE, "127.0.0.1:7000", 8080, 1_790_000_000_123L, MemberStatus.DEAD, true)),
            List.of(new UpstreamFact(new UpstreamId("engine-1"), true, 7, 60)),
            List.of(new ReachabilityFact(VM, new DataCentreId("mu-west-b"), false, 9)),
            List.of(new SuspectFact(-1, Long.MIN_VALUE, true, 30)),
            List.of(new LoadFact(new UpstreamId("engine-2"), 8, 3, 4, 90_000, 12_000, 32, true, 250)));

    /** Guards against a fact that encoding or decoding alters, such as a leaving upstream decoded as active (P7). */
    @Example
    void messageWithEveryFactTypeRoundTrips() throws IOException {
        PeerMessage.Probe probe = new PeerMessage.Probe(5, new FleetDigest(-3, 12, 900, Optional.of("a")), FACTS);
        if (!probe.equals(MessageCodec.decode(MessageCodec.encode(probe)))) {
            throw new AssertionError("probe changed on the wire");
        }
    }

    /** Guards against a truncated or corrupt payload that crashes the node with an unchecked exception. */
    @Property(seed = "11", tries = 300)
    void corruptPayloadsFailOnlyWithIoException(@ForAll int position, @ForAll byte value) {
        byte[] payload = MessageCodec.encode(new PeerMessage.GossipPush(FleetDigest.NONE, FACTS));
        payload[Math.floorMod(position, payload.length)] = value;
        try {
            MessageCodec.decode(payload);
            MessageCodec.decode(Arrays.copyOf(payload, Math.floorMod(position, payload.length)));
        } catch (IOException expected) {
            // Corrupt payloads are rejected.
        }
    }
}
