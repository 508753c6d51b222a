/**
 * Protocol between nodes: protobuf frames over TCP.
 *
 * <p>A node opens one {@link org.sequoiashunt.link.LinkServer} and one {@link org.sequoiashunt.link.LinkClient}; both
 * share a {@link org.sequoiashunt.link.LinkThreads}. Each connection carries requests one way: control messages and
 * calls from the side that opened it, answers to calls from the side that accepted it.
 *
 * <p>Decisions stand apart from Netty: {@link org.sequoiashunt.link.LinkHealth},
 * {@link org.sequoiashunt.link.InFlightCalls}, {@link org.sequoiashunt.link.CallLedger},
 * {@link org.sequoiashunt.link.FrameAge} and {@link org.sequoiashunt.link.PartialFrameMonitor}.
 */
package org.sequoiashunt.link;
