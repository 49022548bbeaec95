package hopdrum.fleet.view;

import hopdrum.fleet.message.Message;

/** Where messages go: to an address, late, twice or never. Never waits. */
public interface MessageSender {
    void send(String address, Message message);
}
