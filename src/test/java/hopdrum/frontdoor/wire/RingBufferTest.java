package hopdrum.frontdoor.wire;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against bytes that are lost when a ring buffer wraps, grows or shrinks, and against wrong memory totals. */
class RingBufferTest {
    @Test
    void bufferWrapsGrowsAndShrinksWithoutLosingAByte() {
        CountingMemory memory = new CountingMemory(Long.MAX_VALUE);
        RingBuffer ring = new RingBuffer(4096, memory);
        StringBuilder written = new StringBuilder();
        StringBuilder read = new StringBuilder();
        for (int i = 0; i < 200; i++) {
            String piece = Integer.toString(i * 7919).repeat(i % 20);
            WireFixture.put(ring, piece);
            written.append(piece);
            int count = Math.min(ring.size(), i % 90);
            read.append(ring.text(0, count));
            ring.skip(count);
            if (ring.size() > 3800) {
                read.append(WireFixture.allText(ring));
                ring.skip(ring.size());
                ring.shrink();
                assertThat(memory.heldBytes).isEqualTo(1024);
            }
        }
        read.append(WireFixture.allText(ring));
        assertThat(read.toString()).isEqualTo(written.toString());
        assertThat(ring.reserve(4097 - ring.size())).isFalse();
        ring.free();
        assertThat(memory.heldBytes).isZero();
    }

    @Test
    void aBufferWhoseGrowthIsDeniedStaysAsItIsAndGrowsOnceItIsGranted() {
        CountingMemory memory = new CountingMemory(2048);
        RingBuffer ring = new RingBuffer(4096, memory);
        WireFixture.put(ring, "x".repeat(2000));
        assertThat(ring.reserve(49)).isFalse();
        assertThat(ring.capacity()).isEqualTo(2048);
        assertThat(memory.heldBytes).isEqualTo(2048);
        memory.limitBytes = 4096;
        WireFixture.put(ring, "y".repeat(49));
        assertThat(WireFixture.allText(ring)).isEqualTo("x".repeat(2000) + "y".repeat(49));
        assertThat(memory.heldBytes).isEqualTo(4096);
    }

    /** Counts the memory that a buffer holds, and denies more than a limit. */
    private static final class CountingMemory implements BufferMemory {
        private long limitBytes;
        private long heldBytes;

        CountingMemory(long limitBytes) {
            this.limitBytes = limitBytes;
        }

        @Override
        public boolean tryAllocate(int bytes) {
            boolean granted = heldBytes + bytes <= limitBytes;
            heldBytes += granted ? bytes : 0;
            return granted;
        }

        @Override
        public void allocate(int bytes) {
            heldBytes += bytes;
        }

        @Override
        public void release(int bytes) {
            heldBytes -= bytes;
        }
    }
}
