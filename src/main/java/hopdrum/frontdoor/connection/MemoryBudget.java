package hopdrum.frontdoor.connection;

import hopdrum.frontdoor.wire.BufferMemory;

/**
 * The memory that the buffers of all connections may take together. While it is low, a listener is notified, so that it
 * can reclaim memory before requests have to be refused for lack of it.
 */
public final class MemoryBudget {
    /**
     * What a buffer holds. A buffer may grow while the total is below its purpose's share of the limit. Buffers whose
     * growth can wait have smaller shares than those without which a request fails.
     */
    public enum Purpose {
        /** Requests as they arrive; reading waits for memory. */
        INCOMING_REQUEST(0.5),
        /** Responses as they arrive from backends; reading waits for memory. */
        INCOMING_RESPONSE(0.7),
        /** Responses on their way to clients; without memory a request has run in vain. */
        OUTGOING_RESPONSE(0.85),
        /** Requests on their way to backends, which are shorter than responses can be. */
        OUTGOING_REQUEST(1),
        /** Messages of discovery and the counter, whose few connections have small buffers and must not fail. */
        CONTROL(Double.POSITIVE_INFINITY);

        private final double share;

        Purpose(double share) {
            this.share = share;
        }
    }

    private static final double LOW_MEMORY_SHARE = 0.4;

    private final long maxBytes;
    private long usedBytes;
    private Runnable lowMemoryListener = () -> {};

    /** Creates a budget of which nothing is used; {@code maxBytes} is the limit of the sum of all buffers. */
    public MemoryBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Sets the listener that is called whenever a buffer asks for memory while it is low. It is called in the middle of
     * an event, so it must not change the state of connections before the event has been handled.
     */
    public void setLowMemoryListener(Runnable listener) {
        lowMemoryListener = listener;
    }

    /** Whether so much memory is in use that stalled transfers should give theirs back. */
    public boolean isLow() {
        return usedBytes > maxBytes * LOW_MEMORY_SHARE;
    }

    /** Whether the limit of the sum of all buffers is reached. */
    public boolean isExhausted() {
        return usedBytes >= maxBytes;
    }

    /** The memory that all buffers take now, in bytes. */
    public long usedBytes() {
        return usedBytes;
    }

    /** Returns the source of memory for buffers with a purpose. */
    public BufferMemory memoryFor(Purpose purpose) {
        return new Share((long) (maxBytes * purpose.share));
    }

    private final class Share implements BufferMemory {
        private final long maxUsedBytes; // of the whole budget, up to which this share may be used

        Share(long maxUsedBytes) {
            this.maxUsedBytes = maxUsedBytes;
        }

        @Override
        public boolean tryAllocate(int bytes) {
            boolean granted = usedBytes + bytes <= maxUsedBytes;
            if (granted) {
                usedBytes += bytes;
            }
            if (!granted || isLow()) {
                lowMemoryListener.run();
            }
            return granted;
        }

        @Override
        public void allocate(int bytes) {
            usedBytes += bytes;
        }

        @Override
        public void release(int bytes) {
            usedBytes -= bytes;
        }
    }
}
