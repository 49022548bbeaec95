package hopdrum.fleet.view;

import hopdrum.fleet.message.Message;

/** Sends messages to peers without a delivery guarantee: a message may arrive late, twice or never. */
public interface MessageSender {
    /**
     * Queues a message without blocking.
     *
     * @param address the peer's numeric address and port
     * @param message the message
     */
    void send(String address, Message message);
}
