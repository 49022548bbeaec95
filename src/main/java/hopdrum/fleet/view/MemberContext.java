package hopdrum.fleet.view;

import hopdrum.fleet.message.Member;
import java.util.SplittableRandom;

/**
 * What all parts of one member's membership share.
 *
 * @param self this start of this member
 * @param timing the fleet's intervals
 * @param random the one source of random draws; the order of draws is part of a simulated run
 * @param sender sends messages to peers
 * @param log records decisions
 */
record MemberContext(Member self, FleetTiming timing, SplittableRandom random, MessageSender sender, DecisionLog log) {}
