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

/** Sends short messages to the other front doors and receives theirs, by UDP. Owns the one datagram socket. */
final class PeerMessenger implements EventLoop.ChannelHandler {
    private static final Log LOG = new Log("peers");
    private static final int MAX_MESSAGE_BYTES = 256;
    private static final int MAX_RECEIVED_AT_ONCE = 64; // so that other sockets get their turn
    private final DatagramChannel channel;
    private final List<InetSocketAddress> peers;
    private final Consumer<byte[]> listener;
    private final ByteBuffer buffer = ByteBuffer.allocateDirect(MAX_MESSAGE_BYTES + 1);

    /**
     * Binds the socket.
     *
     * @param peers the addresses of all front doors, by their gateway number
     * @param listener is given each message of a peer, on the loop's thread
     */
    PeerMessenger(EventLoop loop, SocketAddress listen, List<InetSocketAddress> peers, Consumer<byte[]> listener)
            throws IOException {
        this.peers = peers;
        this.listener = listener;
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

    /**
     * Sends a message, which may be lost. One that is too long, or to no peer, is dropped.
     *
     * @param gateway the peer's place in the list of peers
     */
    void send(int gateway, byte[] message) {
        if (gateway < 0 || gateway >= peers.size() || message.length > MAX_MESSAGE_BYTES) {
            return;
        }
        try {
            channel.send(ByteBuffer.wrap(message), peers.get(gateway)); // lost if the socket does not take it
        } catch (IOException e) {
            LOG.warning("a message to another front door was not sent", e.getMessage());
        }
    }

    @Override
    public void channelReady(SelectionKey key) throws IOException {
        for (int i = 0; i < MAX_RECEIVED_AT_ONCE; i++) {
            buffer.clear();
            SocketAddress from = channel.receive(buffer);
            if (from == null) {
                return;
            }
            buffer.flip();
            // Datagrams from elsewhere are dropped: only the sender's address tells who it is.
            if (buffer.remaining() <= MAX_MESSAGE_BYTES && peers.indexOf(from) >= 0) {
                byte[] message = new byte[buffer.remaining()];
                buffer.get(message);
                listener.accept(message);
            }
        }
    }

    @Override
    public void channelFailed(Exception e) {
        LOG.warning("the datagram socket failed to read", e.getMessage());
    }

    /** Closes the socket. */
    void close() {
        try {
            channel.close();
        } catch (IOException e) {
            LOG.warning("the datagram socket did not close cleanly", e.getMessage());
        }
    }
}
