package org.cowslipbank.entry.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;

import org.cowslipbank.model.PeerException;
import org.cowslipbank.model.ProcessingStep;
import org.cowslipbank.model.RunState;
import org.cowslipbank.model.relay.StoreItem;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/** A metadata store that answers reads when the test says so, with its state at that time. For one thread. */
final class PausedMetadataStore extends ReadOnlyMetadataStore {
    private final List<StoreItem> history = new ArrayList<>();
    private final List<Call> calls = new ArrayList<>();
    private long oldestRevision;

    /** A call without an answer. */
    private record Call(Runnable answer, Runnable failure) {}

    void write(StoreItem item) {
        history.add(item);
    }

    long revision() {
        return history.isEmpty() ? 1 : history.get(history.size() - 1).revision();
    }

    /** Returns the changes after a revision. */
    Changes changes(long afterRevision) {
        return new Changes(
                history.stream().filter(item -> item.revision() > afterRevision).toList(), revision());
    }

    /** Drops the history until now, so that watches from earlier revisions fail. */
    void loseHistory() {
        oldestRevision = revision();
    }

    int calls() {
        return calls.size();
    }

    /** Answers the call with an index in the order of their arrival; does nothing without it. */
    void answer(int index) {
        if (index >= 0 && index < calls.size()) {
            calls.remove(index).answer().run();
        }
    }

    /** Lets the call with an index fail; does nothing without it. */
    void fail(int index) {
        if (index >= 0 && index < calls.size()) {
            calls.remove(index).failure().run();
        }
    }

    private <T> Mono<T> call(BiConsumer<PausedMetadataStore, MonoSink<T>> answer) {
        return Mono.create(sink -> calls.add(new Call(
                () -> answer.accept(this, sink),
                () -> sink.error(new PeerException(
                        ProcessingStep.KEY_VALUE, "store", RunState.NOT_RUN, "call is failed by the test")))));
    }

    /** Later pages may have items that are newer than the revision, which is that of the first page. */
    @Override
    public Mono<Range> range(String prefix) {
        return Mono.defer(() -> {
            long firstPageRevision = revision();
            return call((store, sink) -> sink.success(new Range(List.copyOf(history), firstPageRevision, 0)));
        });
    }

    @Override
    public Mono<Optional<Changes>> watch(String prefix, long afterRevision, long waitMillis, long maxBytes) {
        return call((store, sink) ->
                sink.success(afterRevision < oldestRevision ? Optional.empty() : Optional.of(changes(afterRevision))));
    }
}
