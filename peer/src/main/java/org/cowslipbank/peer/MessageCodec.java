package org.cowslipbank.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.RunState;
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
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes messages as MessagePack. A message is its numeric type followed by its fields without names; lists are
 * prefixed with their length. The types and the order of fields are the wire format.
 */
public final class MessageCodec {
    private static final int PROBE = 1;
    private static final int PROBE_ACK = 2;
    private static final int INDIRECT_PROBE = 3;
    private static final int INDIRECT_RESULT = 4;
    private static final int FACTS_PUSH = 5;
    private static final int REQUEST = 6;
    private static final int REPLY = 7;
    private static final int FAILURE = 8;
    private static final int HEARTBEAT = 9;
    private static final int HEARTBEAT_ACK = 10;

    private static final RequestKind[] REQUEST_KINDS = RequestKind.values();
    private static final RunState[] RUN_STATES = RunState.values();
    private static final MemberStatus[] MEMBER_STATUSES = MemberStatus.values();

    // A list's length is not trusted: the list grows as its items are decoded.
    private static final int MAX_INITIAL_LIST_CAPACITY = 64;

    private MessageCodec() {}

    /**
     * Encodes a message.
     *
     * @param message the message
     * @return the frame's payload
     */
    public static byte[] encode(PeerMessage message) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            write(packer, message);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException(
                    "cannot encode " + message.getClass().getSimpleName(), e);
        }
    }

    /**
     * Decodes a message.
     *
     * @param payload the frame's payload
     * @return the message
     * @throws IOException if the payload is not a message of a known type, or has trailing bytes
     */
    public static PeerMessage decode(byte[] payload) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(payload)) {
            PeerMessage message = read(unpacker);
            if (unpacker.hasNext()) {
                throw new IOException(
                        "trailing bytes after " + message.getClass().getSimpleName());
            }
            return message;
        } catch (MessagePackException | IllegalArgumentException | IndexOutOfBoundsException e) {
            throw new IOException("cannot decode peer message: " + e.getMessage(), e);
        }
    }

    private static void write(MessagePacker packer, PeerMessage message) throws IOException {
        if (message instanceof PeerMessage.Probe probe) {
            packer.packInt(PROBE).packLong(probe.sequence());
            writeDigest(packer, probe.digest());
            writeFacts(packer, probe.facts());
        } else if (message instanceof PeerMessage.ProbeAck ack) {
            packer.packInt(PROBE_ACK).packLong(ack.sequence());
            writeDigest(packer, ack.digest());
            writeFacts(packer, ack.facts());
        } else if (message instanceof PeerMessage.IndirectProbe probe) {
            packer.packInt(INDIRECT_PROBE).packLong(probe.sequence());
            packer.packString(probe.subject().value());
        } else if (message instanceof PeerMessage.IndirectResult result) {
            packer.packInt(INDIRECT_RESULT).packLong(result.sequence());
            packer.packString(result.subject().value()).packBoolean(result.reachable());
        } else if (message instanceof PeerMessage.GossipPush push) {
            packer.packInt(FACTS_PUSH);
            writeDigest(packer, push.digest());
            writeFacts(packer, push.facts());
        } else {
            writeCall(packer, message);
        }
    }

    private static void writeCall(MessagePacker packer, PeerMessage message) throws IOException {
        if (message instanceof PeerMessage.Request request) {
            packer.packInt(REQUEST).packLong(request.correlationId());
            packer.packInt(request.kind().ordinal());
            writeBytes(packer, request.body());
        } else if (message instanceof PeerMessage.Reply reply) {
            packer.packInt(REPLY).packLong(reply.correlationId());
            writeBytes(packer, reply.body());
        } else if (message instanceof PeerMessage.Failure failure) {
            packer.packInt(FAILURE).packLong(failure.correlationId());
            packer.packInt(failure.runState().ordinal()).packString(failure.message());
        } else if (message instanceof PeerMessage.Heartbeat) {
            packer.packInt(HEARTBEAT);
        } else if (message instanceof PeerMessage.HeartbeatAck) {
            packer.packInt(HEARTBEAT_ACK);
        }
    }

    private static PeerMessage read(MessageUnpacker in) throws IOException {
        int type = in.unpackInt();
        return switch (type) {
            case PROBE -> new PeerMessage.Probe(in.unpackLong(), readDigest(in), readFacts(in));
            case PROBE_ACK -> new PeerMessage.ProbeAck(in.unpackLong(), readDigest(in), readFacts(in));
            case INDIRECT_PROBE -> new PeerMessage.IndirectProbe(in.unpackLong(), readVm(in));
            case INDIRECT_RESULT -> new PeerMessage.IndirectResult(in.unpackLong(), readVm(in), in.unpackBoolean());
            case FACTS_PUSH -> new PeerMessage.GossipPush(readDigest(in), readFacts(in));
            case REQUEST -> new PeerMessage.Request(in.unpackLong(), REQUEST_KINDS[in.unpackInt()], readBytes(in));
            case REPLY -> new PeerMessage.Reply(in.unpackLong(), readBytes(in));
            case FAILURE -> new PeerMessage.Failure(in.unpackLong(), RUN_STATES[in.unpackInt()], in.unpackString());
            case HEARTBEAT -> new PeerMessage.Heartbeat();
            case HEARTBEAT_ACK -> new PeerMessage.HeartbeatAck();
            default -> throw new IOException("unknown peer message type " + type);
        };
    }

    private static void writeDigest(MessagePacker packer, FleetDigest digest) throws IOException {
        packer.packInt(digest.tableHash()).packLong(digest.revision());
        packer.packLong(digest.confirmedAgeMillis());
        if (digest.syncCursor().isEmpty()) {
            packer.packNil();
        } else {
            packer.packString(digest.syncCursor().get());
        }
    }

    private static FleetDigest readDigest(MessageUnpacker in) throws IOException {
        return new FleetDigest(in.unpackInt(), in.unpackLong(), in.unpackLong(), readCursor(in));
    }

    private static Optional<String> readCursor(MessageUnpacker in) throws IOException {
        return in.tryUnpackNil() ? Optional.empty() : Optional.of(in.unpackString());
    }

    private static void writeFacts(MessagePacker packer, GossipPayload facts) throws IOException {
        writeList(packer, facts.members(), MessageCodec::writeMember);
        writeList(packer, facts.upstreams(), MessageCodec::writeUpstream);
        writeList(packer, facts.reach(), MessageCodec::writeReach);
        writeList(packer, facts.suspects(), MessageCodec::writeSuspect);
        writeList(packer, facts.loads(), MessageCodec::writeLoad);
    }

    private static GossipPayload readFacts(MessageUnpacker in) throws IOException {
        return new GossipPayload(
                readList(in, MessageCodec::readMember),
                readList(in, MessageCodec::readUpstream),
                readList(in, MessageCodec::readReach),
                readList(in, MessageCodec::readSuspect),
                readList(in, MessageCodec::readLoad));
    }

    private static void writeMember(MessagePacker packer, MemberFact fact) throws IOException {
        packer.packString(fact.vm().value()).packString(fact.dataCentre().value());
        packer.packString(fact.address()).packInt(fact.callerPort()).packLong(fact.incarnation());
        packer.packInt(fact.status().ordinal() * 2 + (fact.leaving() ? 1 : 0));
    }

    private static MemberFact readMember(MessageUnpacker in) throws IOException {
        VmId vm = readVm(in);
        DataCentreId dataCentre = readDataCentre(in);
        String address = in.unpackString();
        int callerPort = in.unpackInt();
        long incarnation = in.unpackLong();
        int flags = in.unpackInt();
        return new MemberFact(
                vm, dataCentre, address, callerPort, incarnation, MEMBER_STATUSES[flags / 2], flags % 2 != 0);
    }

    private static void writeUpstream(MessagePacker packer, UpstreamFact fact) throws IOException {
        packer.packString(fact.upstream().value()).packBoolean(fact.leaving());
        packer.packLong(fact.version()).packInt(fact.remainingSeconds());
    }

    private static UpstreamFact readUpstream(MessageUnpacker in) throws IOException {
        return new UpstreamFact(readUpstreamId(in), in.unpackBoolean(), in.unpackLong(), in.unpackInt());
    }

    private static void writeReach(MessagePacker packer, ReachabilityFact fact) throws IOException {
        packer.packString(fact.gateway().value()).packString(fact.dataCentre().value());
        packer.packBoolean(fact.reachable()).packLong(fact.version());
    }

    private static ReachabilityFact readReach(MessageUnpacker in) throws IOException {
        return new ReachabilityFact(readVm(in), readDataCentre(in), in.unpackBoolean(), in.unpackLong());
    }

    private static void writeSuspect(MessagePacker packer, SuspectFact fact) throws IOException {
        packer.packLong(fact.fingerprint()).packLong(fact.crash());
        packer.packBoolean(fact.cleared()).packInt(fact.remainingSeconds());
    }

    private static SuspectFact readSuspect(MessageUnpacker in) throws IOException {
        return new SuspectFact(in.unpackLong(), in.unpackLong(), in.unpackBoolean(), in.unpackInt());
    }

    private static void writeLoad(MessagePacker packer, LoadFact fact) throws IOException {
        packer.packString(fact.upstream().value()).packLong(fact.version());
        packer.packInt(fact.running()).packInt(fact.waiting()).packInt(fact.waitingPromptTokens());
        packer.packInt(fact.prefillTokensPerSecond()).packInt(fact.slots());
        packer.packBoolean(fact.loading()).packInt(fact.ageMillis());
    }

    private static LoadFact readLoad(MessageUnpacker in) throws IOException {
        return new LoadFact(
                readUpstreamId(in),
                in.unpackLong(),
                in.unpackInt(),
                in.unpackInt(),
                in.unpackInt(),
                in.unpackInt(),
                in.unpackInt(),
                in.unpackBoolean(),
                in.unpackInt());
    }

    private static VmId readVm(MessageUnpacker in) throws IOException {
        return new VmId(in.unpackString());
    }

    private static DataCentreId readDataCentre(MessageUnpacker in) throws IOException {
        return new DataCentreId(in.unpackString());
    }

    private static UpstreamId readUpstreamId(MessageUnpacker in) throws IOException {
        return new UpstreamId(in.unpackString());
    }

    private static void writeBytes(MessagePacker packer, byte[] bytes) throws IOException {
        packer.packBinaryHeader(bytes.length).writePayload(bytes);
    }

    private static byte[] readBytes(MessageUnpacker in) throws IOException {
        return in.readPayload(requireWithinFrame(in, in.unpackBinaryHeader()));
    }

    private static <T> void writeList(MessagePacker packer, List<T> items, Writer<T> writer) throws IOException {
        packer.packArrayHeader(items.size());
        for (T item : items) {
            writer.write(packer, item);
        }
    }

    private static <T> List<T> readList(MessageUnpacker in, Reader<T> reader) throws IOException {
        int size = in.unpackArrayHeader();
        List<T> items = new ArrayList<>(Math.min(size, MAX_INITIAL_LIST_CAPACITY));
        for (int i = 0; i < size; i++) {
            items.add(reader.read(in));
        }
        return items;
    }

    /** Rejects a length that exceeds the largest frame before memory is allocated for it. */
    private static int requireWithinFrame(MessageUnpacker in, int length) throws IOException {
        if (length > PeerSettings.Limits.DEFAULT.maxFrameBytes()) {
            throw new IOException("binary field of " + length + " bytes at offset " + in.getTotalReadBytes()
                    + " exceeds the largest frame");
        }
        return length;
    }

    @FunctionalInterface
    private interface Writer<T> {
        void write(MessagePacker packer, T item) throws IOException;
    }

    @FunctionalInterface
    private interface Reader<T> {
        T read(MessageUnpacker in) throws IOException;
    }
}
