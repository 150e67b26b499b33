package org.cowslipbank.decision.routing;

import java.util.Arrays;
import java.util.List;

import org.cowslipbank.model.BlockIdentity;
import org.cowslipbank.model.BlockRef;

/** The leading retained blocks that a request may use, each at the store with the fastest link. */
final class RetainedPrefix {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final RoutingInput input;
    private final BlockRef[] blocks;
    private final int[] linkIndexes;
    private final double[] transferMillis;
    private int length;

    private RetainedPrefix(RoutingInput input) {
        this.input = input;
        int capacity = input.chain().size();
        this.blocks = new BlockRef[capacity];
        this.linkIndexes = new int[capacity];
        this.transferMillis = new double[capacity];
    }

    static RetainedPrefix of(RoutingInput input) {
        RetainedPrefix prefix = new RetainedPrefix(input);
        int next = 0;
        for (BlockIdentity expected : input.chain()) {
            if (!expected.team().equals(input.team()) || !expected.model().equals(input.model())) {
                break;
            }
            next = prefix.addPiece(expected, next);
            if (prefix.length <= expected.pieceIndex()) {
                break;
            }
        }
        return prefix;
    }

    // Returns the index in the retained list after the references to this piece.
    private int addPiece(BlockIdentity expected, int from) {
        List<BlockRef> retained = input.retained();
        int next = from;
        while (next < retained.size() && retained.get(next).identity().pieceIndex() <= expected.pieceIndex()) {
            BlockRef ref = retained.get(next);
            if (ref.identity().equals(expected)) {
                keepFastest(ref);
            }
            next++;
        }
        if (length < blocks.length && blocks[length] != null) {
            length++;
        }
        return next;
    }

    private void keepFastest(BlockRef ref) {
        int linkIndex = usableLinkIndex(ref);
        if (linkIndex < 0) {
            return;
        }
        double millis = transferMillis(ref, input.links().get(linkIndex));
        if (blocks[length] != null && transferMillis[length] <= millis) {
            return;
        }
        blocks[length] = ref;
        linkIndexes[length] = linkIndex;
        transferMillis[length] = millis;
    }

    private int usableLinkIndex(BlockRef ref) {
        List<StoreLink> links = input.links();
        for (int i = 0; i < links.size(); i++) {
            StoreLink link = links.get(i);
            if (link.store().equals(ref.store())) {
                return link.state() == LinkState.UP && link.bytesPerSecond() > 0 ? i : -1;
            }
        }
        return -1;
    }

    private static double transferMillis(BlockRef ref, StoreLink link) {
        double rate =
                switch (ref.tier()) {
                    case MEMORY -> link.bytesPerSecond();
                    case DISK -> Math.min(link.bytesPerSecond(), link.diskBytesPerSecond());
                };
        return ref.lengthBytes() * MILLIS_PER_SECOND / rate;
    }

    int length() {
        return length;
    }

    int linkIndex(int block) {
        return linkIndexes[block];
    }

    double transferMillis(int block) {
        return transferMillis[block];
    }

    /** Returns the transfer time of a block at the configured link rate in milliseconds, as a measure of its bytes. */
    double linkUseMillis(int block) {
        StoreLink link = input.links().get(linkIndexes[block]);
        return blocks[block].lengthBytes() * MILLIS_PER_SECOND / link.configuredBytesPerSecond();
    }

    /** Returns the time until the first byte of a new transfer arrives over a link, in milliseconds. */
    double firstByteMillis(int linkIndex) {
        StoreLink link = input.links().get(linkIndex);
        return link.latencyMillis() + link.queuedBytes() * MILLIS_PER_SECOND / link.bytesPerSecond();
    }

    List<BlockRef> blocksBetween(int from, int to) {
        return Arrays.asList(blocks).subList(from, to);
    }
}
