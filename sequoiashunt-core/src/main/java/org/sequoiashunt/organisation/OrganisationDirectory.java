package org.sequoiashunt.organisation;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * Finds the organisation that holds a key.
 *
 * <p>Immutable and thread-safe. Invariants: a key that two organisations claim identifies neither, since it cannot be
 * told whose request carries it; no method returns a key or shows it in a text.
 */
public final class OrganisationDirectory {

    /** Directory of a mesh whose callers need no key. */
    public static final OrganisationDirectory NONE = new OrganisationDirectory(false, Map.of(), Map.of());

    /** Rank of an organisation that states none. */
    private static final int LEAST_URGENT_RANK = 9;

    private final boolean keysRequired;
    private final Map<String, Organisation> organisationsByKey;
    private final Map<String, Organisation> organisationsByName;
    private final Map<String, RateLimit> limits;
    private final int mostUrgentRank;

    private OrganisationDirectory(
            final boolean keysRequired,
            final Map<String, Organisation> organisationsByKey,
            final Map<String, Organisation> organisationsByName) {
        this.keysRequired = keysRequired;
        this.organisationsByKey = Map.copyOf(organisationsByKey);
        this.organisationsByName = Map.copyOf(organisationsByName);
        this.limits = organisationsByName.values().stream()
                .filter(organisation -> organisation.quota().isPresent())
                .collect(Collectors.toUnmodifiableMap(
                        Organisation::name, organisation -> organisation.quota().get()));
        this.mostUrgentRank = organisationsByName.values().stream()
                .mapToInt(OrganisationDirectory::rankOf)
                .min()
                .orElse(0);
    }

    private static int rankOf(final Organisation organisation) {
        return organisation.rank().orElse(LEAST_URGENT_RANK);
    }

    /**
     * Returns whether requests need a key, unless their route is open to all.
     *
     * @return false if the configuration defines no organisations at all.
     */
    public boolean requiresKeys() {
        return keysRequired;
    }

    /**
     * Finds the organisation that holds a key.
     *
     * @param key the key, not null.
     * @return the organisation, or empty if the key is unknown.
     */
    public Optional<Organisation> findByKey(final String key) {
        return Optional.ofNullable(organisationsByKey.get(key));
    }

    /**
     * Finds an organisation.
     *
     * @param name the name, not null.
     * @return the organisation, or empty if there is none of that name.
     */
    public Optional<Organisation> findByName(final String name) {
        return Optional.ofNullable(organisationsByName.get(name));
    }

    /**
     * Returns the rank that takes precedence over the rank of a request's route. A request of no organisation, such as
     * a call that a running request makes, has the rank of the most urgent one: its fate decides that of a request that
     * has already been admitted.
     *
     * @param organisation the organisation of the request, empty for none; not null.
     * @return the rank, zero or more; lower ranks are more urgent.
     */
    public int rankOf(final Optional<Organisation> organisation) {
        return organisation.map(OrganisationDirectory::rankOf).orElse(mostUrgentRank);
    }

    /**
     * Returns the limits of the organisations that have one.
     *
     * @return the limits by the names of the organisations, the same map at each call; never null.
     */
    public Map<String, RateLimit> limits() {
        return limits;
    }

    /**
     * Counts the organisations.
     *
     * @return the number, zero or more.
     */
    public int size() {
        return organisationsByName.size();
    }

    /**
     * Returns the organisations.
     *
     * @return the organisations in no particular order, never null.
     */
    public Collection<Organisation> organisations() {
        return organisationsByName.values();
    }

    /**
     * Counts the keys that identify an organisation.
     *
     * @param name the name of the organisation, not null.
     * @return the number of keys without those that another organisation claims too, zero or more.
     */
    public int countKeys(final String name) {
        return (int) organisationsByKey.values().stream()
                .filter(organisation -> organisation.name().equals(name))
                .count();
    }

    /**
     * Counts the keys of an organisation that no request can carry, since header values are visible ASCII characters
     * and white space around them is removed.
     *
     * @param name the name of the organisation, not null.
     * @return the number of keys, zero or more.
     */
    public int countUnsendableKeys(final String name) {
        return (int) organisationsByKey.entrySet().stream()
                .filter(entry -> entry.getValue().name().equals(name))
                .filter(entry -> !Organisation.isSendable(entry.getKey()))
                .count();
    }

    /**
     * Counts the keys that identify an organisation both here and in another directory.
     *
     * @param name the name of the organisation, not null.
     * @param other the other directory, not null.
     * @return the number of keys, zero or more.
     */
    public int countCommonKeys(final String name, final OrganisationDirectory other) {
        return (int) organisationsByKey.entrySet().stream()
                .filter(entry -> entry.getValue().name().equals(name))
                .filter(entry -> other.findByKey(entry.getKey())
                        .filter(organisation -> organisation.name().equals(name))
                        .isPresent())
                .count();
    }

    /** Collects the organisations of a directory. Not thread-safe. */
    public static final class Builder {

        private final Map<String, Organisation> organisationsByKey = new HashMap<>();
        private final Map<String, Organisation> organisationsByName = new HashMap<>();
        /** Names of the organisations that claim a key, for keys that more than one claims. */
        private final Map<String, SortedSet<String>> holdersOfSharedKeys = new HashMap<>();

        /**
         * Adds an organisation.
         *
         * @param organisation the organisation, not null.
         * @param keys its keys, not null.
         * @return whether all of its keys are its own; a key that another organisation claims too identifies neither.
         * @throws IllegalArgumentException if there is an organisation of the same name; it stays as it was.
         */
        public boolean add(final Organisation organisation, final Set<String> keys) {
            Objects.requireNonNull(organisation, "organisation");
            if (organisationsByName.putIfAbsent(organisation.name(), organisation) != null) {
                throw new IllegalArgumentException("a second organisation has the name " + organisation.name());
            }
            boolean allOwn = true;
            for (String key : keys) {
                Organisation holder = organisationsByKey.putIfAbsent(key, organisation);
                if (holder != null) {
                    holdersOfSharedKeys
                            .computeIfAbsent(key, unused -> new TreeSet<>())
                            .add(holder.name());
                }
                if (holdersOfSharedKeys.containsKey(key)) {
                    holdersOfSharedKeys.get(key).add(organisation.name());
                    organisationsByKey.remove(key);
                    allOwn = false;
                }
            }
            return allOwn;
        }

        /**
         * Finds the organisations that claim a key of another one.
         *
         * @param name the name of the organisation, not null.
         * @return the names of the others that were added so far and claim one of its keys, never null.
         */
        public SortedSet<String> findSharers(final String name) {
            SortedSet<String> sharers = new TreeSet<>();
            holdersOfSharedKeys.values().stream()
                    .filter(holders -> holders.contains(name))
                    .forEach(sharers::addAll);
            sharers.remove(name);
            return sharers;
        }

        /**
         * Builds the directory.
         *
         * @return a directory that requires keys, also if it has no organisations; never null.
         */
        public OrganisationDirectory build() {
            return new OrganisationDirectory(true, organisationsByKey, organisationsByName);
        }
    }
}
