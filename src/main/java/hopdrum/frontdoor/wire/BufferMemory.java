package hopdrum.frontdoor.wire;

/** Grants the memory of ring buffers, so that the total of all buffers can be limited. */
public interface BufferMemory {
    /** Memory without a limit, for buffers that are not part of a connection. */
    BufferMemory UNLIMITED = new BufferMemory() {
        @Override
        public boolean tryAllocate(int bytes) {
            return true;
        }

        @Override
        public void allocate(int bytes) {}

        @Override
        public void release(int bytes) {}
    };

    /**
     * Asks for memory by which a buffer is to grow.
     *
     * @return false if the limit does not allow it; the buffer must not grow then
     */
    boolean tryAllocate(int bytes);

    /** Takes the initial memory of a buffer, which is always granted, since the connections are limited in number. */
    void allocate(int bytes);

    /** Gives back memory that was allocated. */
    void release(int bytes);
}
