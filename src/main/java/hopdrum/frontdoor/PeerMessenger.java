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

/** Exchanges short UDP messages with the other front doors. Owns the datagram socket. */
final class PeerMessenger implements EventLoop.ChannelHandler {
    private static final Log LOG = new Log("peers");
    private static final int MAX_MESSAGE_BYTES = 256;
    private static final int MAX_MESSAGES_PER_EVENT = 64; // so that other sockets are served too
    private final DatagramChannel channel;
    private final List<InetSocketAddress> peers;
    private final Consumer<byte[]> listener;
    private final ByteBuffer receiveBuffer = ByteBuffer.allocateDirect(MAX_MESSAGE_BYTES + 1);

    /**
     * Binds the socket.
     *
     * @param peers the addresses of all front doors, indexed by gateway number
     * @param listener receives each message of a peer, on the event loop's thread
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
     * Sends a message, which may be lost. A message that is too long or addressed to an unknown peer is dropped.
     *
     * @param gateway the peer's index in the list of peers
     */
    void send(int gateway, byte[] message) {
        if (gateway < 0 || gateway >= peers.size() || message.length > MAX_MESSAGE_BYTES) {
            return;
        }
        try {
            channel.send(ByteBuffer.wrap(message), peers.get(gateway)); // lost if the send buffer is full
        } catch (IOException e) {
            LOG.warning("sending a message to another front door failed", e.getMessage());
        }
    }

    @Override
    public void channelReady(SelectionKey key) throws IOException {
        for (int i = 0; i < MAX_MESSAGES_PER_EVENT; i++) {
            receiveBuffer.clear();
            SocketAddress sender = channel.receive(receiveBuffer);
            if (sender == null) {
                return;
            }
            receiveBuffer.flip();
            // Datagrams from unknown addresses are dropped: a sender is identified by its address alone.
            if (receiveBuffer.remaining() <= MAX_MESSAGE_BYTES && peers.indexOf(sender) >= 0) {
                byte[] message = new byte[receiveBuffer.remaining()];
                receiveBuffer.get(message);
                listener.accept(message);
            }
        }
    }

    @Override
    public void channelFailed(Exception e) {
        LOG.warning("receiving from the datagram socket failed", e.getMessage());
    }

    /** Closes the datagram socket. */
    void close() {
        try {
            channel.close();
        } catch (IOException e) {
            LOG.warning("closing the datagram socket failed", e.getMessage());
        }
    }
}
