package hopdrum.frontdoor;

import hopdrum.frontdoor.lifecycle.EventLoop;
import hopdrum.frontdoor.lifecycle.Log;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.util.List;
import java.util.function.Consumer;

/** Short messages to and from the other front doors, by UDP. Owns the one datagram socket. */
final class PeerMessenger implements EventLoop.ChannelHandler {
    private static final Log LOG = new Log("peers");
    private static final int MOST = 256;
    private final DatagramChannel channel;
    private final List<InetSocketAddress> peers;
    private final Consumer<byte[]> heard;
    private final ByteBuffer buffer = ByteBuffer.allocateDirect(MOST + 1);

    PeerMessenger(EventLoop loop, SocketAddress listen, List<InetSocketAddress> peers, Consumer<byte[]> heard)
            throws IOException {
        this.peers = peers;
        this.heard = heard;
        channel = DatagramChannel.open();
        try {
            channel.configureBlocking(false);
            channel.bind(listen);
            channel.register(loop.selector(), SelectionKey.OP_READ, this);
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
    }

    void tell(int gateway, byte[] message) {
        if (gateway < 0 || gateway >= peers.size() || message.length > MOST) {
            return;
        }
        try {
            channel.send(ByteBuffer.wrap(message), peers.get(gateway)); // one that the socket does not take is lost
        } catch (IOException e) {
            LOG.warning("a message to another front door was not sent", e.getMessage());
        }
    }

    @Override
    public void ready(SelectionKey key) throws IOException {
        for (int i = 0; i < 64; i++) {
            buffer.clear();
            SocketAddress from = channel.receive(buffer);
            if (from == null) {
                return;
            }
            buffer.flip();
            // Guards against datagrams from elsewhere: only the sender's address tells who it is.
            if (buffer.remaining() <= MOST && peers.indexOf(from) >= 0) {
                byte[] message = new byte[buffer.remaining()];
                buffer.get(message);
                heard.accept(message);
            }
        }
    }

    @Override
    public void failed(Exception e) {
        LOG.warning("the datagram socket failed to read", e.getMessage());
    }

    void close() {
        try {
            channel.close();
        } catch (IOException e) {
            LOG.warning("the datagram socket did not close cleanly", e.getMessage());
        }
    }
}
