/**
 * Protocol between nodes: protobuf frames over TCP.
 *
 * <p>A node opens one {@link org.sequoiashunt.link.LinkServer} and one {@link org.sequoiashunt.link.LinkClient}; both
 * share a {@link org.sequoiashunt.link.LinkThreads}. Control messages and calls are sent only by the side
 * that opened a connection, and results of calls only by the side that accepted it.
 *
 * <p>These classes make the decisions and do not depend on Netty: {@link org.sequoiashunt.link.LinkHealth},
 * {@link org.sequoiashunt.link.InFlightCalls}, {@link org.sequoiashunt.link.CallLedger},
 * {@link org.sequoiashunt.link.FrameAge} and {@link org.sequoiashunt.link.PartialFrameMonitor}.
 */
package org.sequoiashunt.link;
