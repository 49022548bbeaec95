package hopdrum.fleet.view;

import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Sends the messages of consensus. Those to this member itself are queued and handled after the present message,
 * which avoids reentrant calls.
 */
final class ConsensusSender {
    private final Member self;
    private final MessageSender sender;
    private final Deque<Message> toSelf = new ArrayDeque<>(); // emptied at the end of each call into ViewConsensus

    ConsensusSender(Member self, MessageSender sender) {
        this.self = self;
        this.sender = sender;
    }

    void send(Member recipient, Message message) {
        if (recipient.name().equals(self.name())) {
            toSelf.add(message);
        } else {
            sendToPeer(recipient, message);
        }
    }

    /** To a member that is known to be another than this one, though it may share its name. */
    void sendToPeer(Member recipient, Message message) {
        sender.send(recipient.address(), message);
    }

    void sendAll(List<Member> recipients, Message message) {
        for (Member recipient : recipients) {
            send(recipient, message);
        }
    }

    /** The next message to this member itself; null if there is none. */
    Message pollOwn() {
        return toSelf.poll();
    }
}
