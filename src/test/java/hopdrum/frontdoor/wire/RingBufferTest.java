package hopdrum.frontdoor.wire;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** The ring of bytes. */
class RingBufferTest {
    @Test
    void ringWrapsGrowsAndShrinksWithoutLosingAByte() {
        long[] held = {0};
        RingBuffer small = new RingBuffer(4096, by -> held[0] += by);
        StringBuilder in = new StringBuilder();
        StringBuilder out = new StringBuilder();
        for (int i = 0; i < 200; i++) {
            String piece = Integer.toString(i * 7919).repeat(i % 20);
            WireFixture.put(small, piece);
            in.append(piece);
            int taken = Math.min(small.size(), i % 90);
            out.append(small.text(0, taken));
            small.skip(taken);
            if (small.size() > 3800) {
                out.append(WireFixture.allText(small));
                small.skip(small.size());
                small.shrink();
                assertThat(held[0]).isEqualTo(1024);
            }
        }
        out.append(WireFixture.allText(small));
        assertThat(out.toString()).isEqualTo(in.toString());
        assertThat(small.reserve(4097 - small.size())).isFalse();
        small.free();
        assertThat(held[0]).isZero();
    }
}
