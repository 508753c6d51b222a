package org.sequoiashunt.replication;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Addresses that a node may contact before it has any member entry: from its settings and from the platform's store.
 *
 * <p>Thread-safe.
 */
public final class Contacts {

    private final Map<String, Contact> byDomain = new ConcurrentHashMap<>();

    /**
     * Replaces the addresses of a failure domain.
     *
     * @param failureDomain the failure domain, not null.
     * @param region its region, not null.
     * @param addresses the addresses, not null, may be empty.
     */
    public void replace(final String failureDomain, final String region, final List<NodeAddress> addresses) {
        byDomain.put(failureDomain, new Contact(region, List.copyOf(addresses)));
    }

    /**
     * Adds addresses of a failure domain to those known.
     *
     * @param failureDomain the failure domain, not null.
     * @param region its region, not null.
     * @param addresses the addresses, not null, may be empty.
     */
    public void add(final String failureDomain, final String region, final List<NodeAddress> addresses) {
        byDomain.merge(failureDomain, new Contact(region, List.copyOf(addresses)), Contacts::union);
    }

    /**
     * Lists the addresses of a failure domain.
     *
     * @param failureDomain the failure domain, not null.
     * @return the addresses, unmodifiable; empty if none are known.
     */
    public List<NodeAddress> of(final String failureDomain) {
        Contact contact = byDomain.get(failureDomain);
        return contact == null ? List.of() : contact.addresses();
    }

    /**
     * Lists the failure domains with known addresses.
     *
     * @return each failure domain with its region, unmodifiable.
     */
    public Map<String, String> regions() {
        Map<String, String> regions = new ConcurrentHashMap<>();
        byDomain.forEach((domain, contact) -> regions.put(domain, contact.region()));
        return Map.copyOf(regions);
    }

    private static Contact union(final Contact first, final Contact second) {
        Set<NodeAddress> addresses = new TreeSet<>(first.addresses());
        addresses.addAll(second.addresses());
        return new Contact(second.region(), List.copyOf(addresses));
    }

    /** Addresses of one failure domain. Immutable and thread-safe. */
    private record Contact(String region, List<NodeAddress> addresses) {}
}
