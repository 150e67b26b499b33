package org.cowslipbank.entry.relay;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.cowslipbank.model.PeerException;
import org.cowslipbank.model.ProcessingStep;
import org.cowslipbank.model.RunState;
import org.cowslipbank.model.relay.StoreItem;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * A metadata store that several nodes read. It carries a call out, and delivers the answer, when the test says so. Revisions
 * hold the era in their upper bits, as those of the store's client do. For one thread.
 */
final class SharedStore {
    private static final int REVISION_BITS = 40;

    private final List<StoreItem> history = new ArrayList<>();
    private final NavigableMap<Long, NavigableMap<String, StoreItem>> stateByRevision = new TreeMap<>();
    private long oldestRevision = 1;
    private long restoredRevision;

    SharedStore() {
        stateByRevision.put(1L, new TreeMap<>());
    }

    long revision() {
        return stateByRevision.lastKey();
    }

    private long era() {
        return revision() >> REVISION_BITS;
    }

    /** Returns the items at a revision. */
    NavigableMap<String, StoreItem> itemsAt(long revision) {
        return stateByRevision.floorEntry(revision).getValue();
    }

    /** Returns whether a key was absent at some time between two revisions. */
    boolean wasAbsent(String key, long fromRevision, long toRevision) {
        return fromRevision <= toRevision
                && stateByRevision.subMap(fromRevision, true, toRevision, true).values().stream()
                        .anyMatch(items -> !items.containsKey(key));
    }

    /** Returns whether an item is from before the last restore. */
    boolean isFromCopy(StoreItem item) {
        return item.revision() <= restoredRevision;
    }

    void put(String key, String value) {
        long revision = revision() + 1;
        StoreItem known = itemsAt(revision()).get(key);
        long created = known == null ? revision : known.createRevision();
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        change(
                new StoreItem(key, bytes, revision, created, 0),
                items -> items.put(key, new StoreItem(key, bytes, revision, created, 0)));
    }

    void remove(String key) {
        if (itemsAt(revision()).containsKey(key)) {
            change(new StoreItem(key, null, revision() + 1, 0, 0), items -> items.remove(key));
        }
    }

    private void change(StoreItem item, Consumer<Map<String, StoreItem>> change) {
        NavigableMap<String, StoreItem> items = new TreeMap<>(itemsAt(revision()));
        change.accept(items);
        history.add(item);
        stateByRevision.put(item.revision(), items);
    }

    /** Drops the history until now, so that watches from earlier revisions fail. */
    void compact() {
        oldestRevision = revision();
    }

    /** Brings the store back from a copy that lacks the last changes, which begins a new era. */
    void restore(int lostChanges) {
        long eraStart = era() << REVISION_BITS;
        long copied = Math.max(eraStart + 1, revision() - lostChanges);
        long shift = 1L << REVISION_BITS;
        NavigableMap<String, StoreItem> copy = new TreeMap<>();
        itemsAt(copied)
                .forEach((key, item) -> copy.put(
                        key,
                        new StoreItem(key, item.value(), item.revision() + shift, item.createRevision() + shift, 0)));
        history.clear();
        restoredRevision = copied + shift;
        oldestRevision = restoredRevision;
        stateByRevision.put(restoredRevision, copy);
    }

    /** What one process has asked of the store. */
    final class Client extends ReadOnlyMetadataStore {
        private final List<Call> calls = new ArrayList<>();
        /** Latest state that a complete reading of this process may have seen a part of. */
        private long readAheadRevision;

        /** A call that the store may have carried out in part or as a whole. */
        private abstract class Call {
            /** Carries out the next step. */
            abstract void proceed();

            abstract void deliver();

            abstract void fail(PeerException error);
        }

        private final class Watch extends Call {
            private final MonoSink<Optional<Changes>> sink;
            private final long afterRevision;
            private Optional<Changes> answer;

            Watch(MonoSink<Optional<Changes>> sink, long afterRevision) {
                this.sink = sink;
                this.afterRevision = afterRevision;
            }

            @Override
            void proceed() {
                if (answer != null) {
                    return;
                }
                boolean known = afterRevision >= oldestRevision && afterRevision >> REVISION_BITS == era();
                answer = known ? Optional.of(new Changes(changesAfter(afterRevision), revision())) : Optional.empty();
            }

            @Override
            void deliver() {
                proceed();
                sink.success(answer);
            }

            @Override
            void fail(PeerException error) {
                sink.error(error);
            }
        }

        /** Reads two pages, the second one when the answer is delivered. */
        private final class Reading extends Call {
            private final MonoSink<Range> sink;
            private final List<StoreItem> items = new ArrayList<>();
            private String lastKey = "";
            private long firstPageRevision;

            Reading(MonoSink<Range> sink) {
                this.sink = sink;
            }

            @Override
            void proceed() {
                if (firstPageRevision != 0) {
                    return;
                }
                NavigableMap<String, StoreItem> all = itemsAt(revision());
                firstPageRevision = revision();
                all.values().stream().limit(all.size() / 2).forEach(items::add);
                lastKey = items.isEmpty() ? "" : items.get(items.size() - 1).key();
            }

            @Override
            void deliver() {
                proceed();
                if (firstPageRevision >> REVISION_BITS != era()) {
                    fail(error("store was restored between two pages"));
                    return;
                }
                items.addAll(itemsAt(revision()).tailMap(lastKey, false).values());
                readAheadRevision = revision();
                sink.success(new Range(items, firstPageRevision, era()));
            }

            @Override
            void fail(PeerException error) {
                sink.error(error);
            }
        }

        private List<StoreItem> changesAfter(long afterRevision) {
            return history.stream()
                    .filter(item -> item.revision() > afterRevision)
                    .toList();
        }

        long readAheadRevision() {
            return readAheadRevision;
        }

        int calls() {
            return calls.size();
        }

        /** Lets the store carry out a call, or read the first page of it; does nothing without the call. */
        void carryOut(int index) {
            if (index >= 0 && index < calls.size()) {
                calls.get(index).proceed();
            }
        }

        /** Delivers an answer, after the rest of the call was carried out; does nothing without the call. */
        void answer(int index) {
            if (index >= 0 && index < calls.size()) {
                calls.remove(index).deliver();
            }
        }

        void fail(int index) {
            if (index >= 0 && index < calls.size()) {
                calls.remove(index).fail(error("call is failed by the test"));
            }
        }

        private static PeerException error(String message) {
            return new PeerException(ProcessingStep.KEY_VALUE, "store", RunState.NOT_RUN, message);
        }

        @Override
        public Mono<Range> range(String prefix) {
            return Mono.create(sink -> calls.add(new Reading(sink)));
        }

        @Override
        public Mono<Optional<Changes>> watch(String prefix, long afterRevision, long waitMillis, long maxBytes) {
            return Mono.create(sink -> calls.add(new Watch(sink, afterRevision)));
        }
    }
}
