package org.cowslipbank.decision.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The weight versions that the operators have named for one model, and when. A version may be named before the previous one
 * is in force everywhere, and each has its own bound: an engine is outdated since the earliest name newer than what it has
 * loaded.
 *
 * @param model the model's name
 * @param names the names in ascending order of their versions; never empty
 */
public record NamedVersions(String model, List<Name> names) {
    /** Limit on the names that are kept; beyond it the two oldest count as one. */
    static final int MAX_NAMES = 32;

    /** Difference from which a time that another node states replaces the known one; datagrams are delayed by less. */
    static final long TOLERANCE_MILLIS = 250;

    /**
     * One name.
     *
     * @param version the weight version
     * @param atMillis time at which it was named, in milliseconds
     * @param exact false if the time is assumed, because the name is older than this node's first reading
     */
    public record Name(long version, long atMillis, boolean exact) {}

    /** Makes an unmodifiable copy of the names. */
    public NamedVersions {
        names = List.copyOf(names);
    }

    /**
     * Returns the names after the first one.
     *
     * @param model the model's name
     * @param name the name
     * @return the names
     */
    public static NamedVersions of(String model, Name name) {
        return new NamedVersions(model, List.of(name));
    }

    /**
     * Returns the version named last.
     *
     * @return the version
     */
    public long latest() {
        return names.get(names.size() - 1).version();
    }

    /**
     * Adds a name.
     *
     * @param name the name
     * @return the names with it, or this object if it is no newer version
     */
    public NamedVersions with(Name name) {
        return name.version() > latest() ? replaced(name) : this;
    }

    /**
     * Takes over what another node knows exactly of a name that may have come before this node's first reading.
     *
     * @param told the name with its time on this node's clock
     * @return the names with it, or this object if it tells nothing new
     */
    public NamedVersions withTold(Name told) {
        if (told.version() > latest()) {
            // Only the metadata store names versions; it will name this one too.
            return this;
        }
        Optional<Name> known =
                names.stream().filter(name -> name.version() == told.version()).findFirst();
        boolean isNews = known.isEmpty()
                || !known.get().exact()
                || told.atMillis() < known.get().atMillis() - TOLERANCE_MILLIS;
        return isNews ? replaced(told) : this;
    }

    private NamedVersions replaced(Name changed) {
        List<Name> all = new ArrayList<>(names);
        all.removeIf(name -> name.version() == changed.version());
        all.add(changed);
        all.sort(Comparator.comparingLong(Name::version));
        if (all.size() > MAX_NAMES) {
            Name oldest = all.remove(0);
            Name next = all.get(0);
            all.set(0, new Name(next.version(), Math.min(oldest.atMillis(), next.atMillis()), next.exact()));
        }
        return new NamedVersions(model, all);
    }

    /**
     * Returns since when an engine is outdated.
     *
     * @param loadedVersion the version that it has loaded
     * @return the time in milliseconds, or empty if no newer version is named
     */
    public OptionalLong outdatedSinceMillis(long loadedVersion) {
        return names.stream()
                .filter(name -> name.version() > loadedVersion)
                .mapToLong(Name::atMillis)
                .min();
    }

    /**
     * Returns the version named next after another one.
     *
     * @param version the other version
     * @return the next one, or empty if none is newer
     */
    public OptionalLong nextAfter(long version) {
        return names.stream()
                .mapToLong(Name::version)
                .filter(named -> named > version)
                .findFirst();
    }

    /**
     * Returns what other nodes need to know: the names whose bound is not over, and the last one before these.
     *
     * @param boundMillis time within which a version must be in force, in milliseconds
     * @param nowMillis the time in milliseconds
     * @return the names whose times are exact
     */
    public List<Name> namesToTell(long boundMillis, long nowMillis) {
        List<Name> exact = names.stream().filter(Name::exact).toList();
        int first = 0;
        while (first + 1 < exact.size() && nowMillis - exact.get(first + 1).atMillis() >= boundMillis) {
            first++;
        }
        return exact.subList(first, exact.size());
    }
}
