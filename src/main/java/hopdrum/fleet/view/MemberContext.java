package hopdrum.fleet.view;

import hopdrum.fleet.message.Member;
import java.util.SplittableRandom;

/**
 * What all components of one member share.
 *
 * @param self this start of this member
 * @param timing the fleet's intervals
 * @param random the only source of random draws; a simulated run is repeatable only if the order of draws is the same
 * @param sender sends messages to peers
 * @param log records decisions
 */
record MemberContext(Member self, FleetTiming timing, SplittableRandom random, MessageSender sender, DecisionLog log) {}
