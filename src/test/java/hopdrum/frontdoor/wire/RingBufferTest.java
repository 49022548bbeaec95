package hopdrum.frontdoor.wire;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against bytes that are lost when a ring buffer wraps, grows or shrinks, and against wrong memory totals. */
class RingBufferTest {
    @Test
    void bufferWrapsGrowsAndShrinksWithoutLosingAByte() {
        long[] heldBytes = {0};
        RingBuffer ring = new RingBuffer(4096, deltaBytes -> heldBytes[0] += deltaBytes);
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
                assertThat(heldBytes[0]).isEqualTo(1024);
            }
        }
        read.append(WireFixture.allText(ring));
        assertThat(read.toString()).isEqualTo(written.toString());
        assertThat(ring.reserve(4097 - ring.size())).isFalse();
        ring.free();
        assertThat(heldBytes[0]).isZero();
    }
}
