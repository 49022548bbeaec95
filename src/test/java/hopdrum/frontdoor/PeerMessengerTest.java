package hopdrum.frontdoor;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import hopdrum.frontdoor.lifecycle.EventLoop;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** UDP messages between front doors. Messages from unknown addresses and oversized messages must be dropped. */
@Timeout(20)
class PeerMessengerTest extends FrontDoorFixture {
    @Test
    void messagesAreAcceptedOnlyFromTheAddressesOfPeers() throws Exception {
        loop = new EventLoop();
        BlockingQueue<String> received = new LinkedBlockingQueue<>();
        try (DatagramSocket peer = new DatagramSocket(0, InetAddress.getLoopbackAddress());
                DatagramSocket stranger = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            List<InetSocketAddress> addresses = List.of((InetSocketAddress) peer.getLocalSocketAddress());
            PeerMessenger messenger = new PeerMessenger(
                    loop,
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    addresses,
                    message -> received.add(new String(message, StandardCharsets.ISO_8859_1)));
            runInBackground(loop::run);
            messenger.send(0, new byte[257]); // too long; the next one is for an unknown peer; neither is sent
            messenger.send(1, new byte[1]);
            messenger.send(0, new byte[] {42});
            DatagramPacket packet = new DatagramPacket(new byte[300], 300);
            peer.receive(packet);
            assertThat(packet.getLength()).isEqualTo(1);
            stranger.send(new DatagramPacket("no".getBytes(UTF_8), 2, packet.getSocketAddress()));
            peer.send(new DatagramPacket(new byte[257], 257, packet.getSocketAddress()));
            peer.send(new DatagramPacket("yes".getBytes(UTF_8), 3, packet.getSocketAddress()));
            assertThat(received.poll(10, TimeUnit.SECONDS)).isEqualTo("yes");
            messenger.close();
            loop.execute(loop::stop);
        }
    }
}
