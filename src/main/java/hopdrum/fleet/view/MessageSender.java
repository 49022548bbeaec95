package hopdrum.fleet.view;

import hopdrum.fleet.message.Message;

/** Sends messages to peers: each arrives late, twice or never. */
public interface MessageSender {
    /**
     * Queues a message; never blocks.
     *
     * @param address the peer's numeric address and port
     * @param message what to send
     */
    void send(String address, Message message);
}
