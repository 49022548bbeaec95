package hopdrum.fleet.view;

import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Sends the messages of consensus. Messages to this member itself are queued and handled after the current message,
 * which avoids reentrant calls.
 */
final class ConsensusSender {
    private final Member self;
    private final MessageSender sender;
    private final Deque<Message> selfMessages =
            new ArrayDeque<>(); // emptied at the end of each call into ViewConsensus

    ConsensusSender(Member self, MessageSender sender) {
        this.self = self;
        this.sender = sender;
    }

    void send(Member recipient, Message message) {
        if (recipient.name().equals(self.name())) {
            selfMessages.add(message);
        } else {
            sendToPeer(recipient, message);
        }
    }

    /** Sends a message to a process that is known not to be this one, although it may have the same name. */
    void sendToPeer(Member recipient, Message message) {
        sender.send(recipient.address(), message);
    }

    void sendAll(List<Member> recipients, Message message) {
        for (Member recipient : recipients) {
            send(recipient, message);
        }
    }

    /** Removes and returns the next message to this member itself; null if there is none. */
    Message pollSelfMessage() {
        return selfMessages.poll();
    }
}
