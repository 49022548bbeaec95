package hopdrum.frontdoor.lifecycle;

import hopdrum.frontdoor.wire.BufferMemory;

/**
 * The limits of one of a connection's buffers.
 *
 * @param maxBytes the most bytes that the buffer may hold
 * @param memory grants the memory by which the buffer grows
 */
public record BufferLimits(int maxBytes, BufferMemory memory) {}
