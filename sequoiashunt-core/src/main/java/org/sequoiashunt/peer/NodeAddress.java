package org.sequoiashunt.peer;

import java.util.Objects;

/**
 * IP address and port at which a node is reached.
 *
 * <p>Immutable and thread-safe. Invariant: the host is not empty and the port is from 1 to 65535.
 *
 * @param host the IP address in text form.
 * @param port the port, from 1 to 65535.
 */
public record NodeAddress(String host, int port) implements Comparable<NodeAddress> {

    private static final int MAXIMUM_PORT = 65_535;

    /**
     * Checks the components.
     *
     * @throws NullPointerException if the host is null.
     * @throws IllegalArgumentException if the host is empty or the port out of range.
     */
    public NodeAddress {
        Objects.requireNonNull(host, "host");
        if (host.isEmpty()) {
            throw new IllegalArgumentException("host must not be empty");
        }
        if (port < 1 || port > MAXIMUM_PORT) {
            throw new IllegalArgumentException("port out of range: " + port);
        }
    }

    /**
     * Parses the form {@code host:port}.
     *
     * @param text the text, not null; an IPv6 address is in square brackets.
     * @return the address, never null.
     * @throws IllegalArgumentException if the text has another form.
     */
    public static NodeAddress parse(final String text) {
        Objects.requireNonNull(text, "text");
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("expected host:port but got '" + text + "'");
        }
        String host = text.substring(0, colon);
        boolean bracketed = host.startsWith("[") && host.endsWith("]");
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return new NodeAddress(bracketed ? host.substring(1, host.length() - 1) : host, port);
        } catch (NumberFormatException exception) {
            throw new IllegalArgumentException("expected host:port but got '" + text + "'", exception);
        }
    }

    @Override
    public int compareTo(final NodeAddress other) {
        int order = host.compareTo(other.host);
        return order != 0 ? order : Integer.compare(port, other.port);
    }

    @Override
    public String toString() {
        return host.indexOf(':') >= 0 ? "[" + host + "]:" + port : host + ":" + port;
    }
}
