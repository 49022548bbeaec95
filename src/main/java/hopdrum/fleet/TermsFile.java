package hopdrum.fleet;

import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.PartnerAgreement;
import hopdrum.fleet.message.PartnerAgreement.Party;
import hopdrum.fleet.shards.Terms;
import java.nio.file.Path;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What an operator wants of its partners and would agree to: the file that terms names. docs/fleet.md has its keys. */
public final class TermsFile {
    private static final Pattern PARTY =
            Pattern.compile("([A-Za-z0-9][A-Za-z0-9._-]*) brings (\\d{1,6}), owed (\\d{1,6}), floor (\\d{1,6})");
    private static final String PARTY_FORM = "a party, as 'north brings 100, owed 60, floor 20'";
    private static final String TIME_FORM = "a moment, as 2026-12-02T00:00:00Z";
    private static final long DAY_MS = 86_400_000;

    private TermsFile() {}

    /** The keys of a proposal, as read; checked, but not yet an agreement. */
    private record ProposalKeys(
            String name,
            long revision,
            List<String> parties,
            String from,
            String until,
            long aloneMs,
            String standIn,
            long moves,
            long epochMs,
            long noticeMs) {

        /** Reads the proposal's keys in the file's documented order, so that missing keys are named in that order. */
        static ProposalKeys read(FleetFile.Reader r, boolean proposes) {
            long revision = r.whole("revision", 1, 1, 1_000_000);
            String name = r.text("agreement", proposes ? null : "none", Member::isName, "a name");
            List<String> parties =
                    r.list("parties", proposes, t -> PARTY.matcher(t).matches(), PARTY_FORM);
            String from = r.text("from", "1970-01-01T00:00:00Z", TermsFile::isTime, TIME_FORM);
            String until = r.text("until", proposes ? null : "1970-01-01T00:00:00Z", TermsFile::isTime, TIME_FORM);
            long alone = r.whole("alone_ms", 10_000, 0, 240_000);
            String standIn = r.text("stand_in", "false", TermsFile::isFlag, "true or false");
            long moves = r.whole("moves", 8, 1, 256);
            long epoch = r.whole("epoch_ms", 60_000, 100, 3_600_000);
            long notice = r.whole("notice_ms", 0, 0, 3_650 * DAY_MS);
            return new ProposalKeys(name, revision, parties, from, until, alone, standIn, moves, epoch, notice);
        }
    }

    /**
     * Reads a terms file whole; all its faults are found before one is said.
     *
     * @param file the operator's terms file
     * @return what the operator proposes and would agree to
     * @throws FleetFile.InvalidFileException with all faults, each with file, line, key, what was found and expected
     */
    public static Terms read(Path file) throws FleetFile.InvalidFileException {
        FleetFile.Reader r = new FleetFile.Reader(file);
        r.open();
        boolean proposes = r.values.containsKey("revision");
        ProposalKeys proposal = ProposalKeys.read(r, proposes);
        String leastPart = r.text("accepts_part", "2", t -> t.matches("[01](\\.\\d{1,6})?|2"), "a part from 0 to 1");
        long mostBrings = r.whole("accepts_brings", 0, 0, 1_000_000);
        long leastFloor = r.whole("accepts_floor", 0, 0, 1_000_000);
        long mostAlone = r.whole("accepts_alone_ms", 240_000, 0, 240_000);
        long mostMoves = r.whole("accepts_moves", 256, 1, 256);
        long mostDays = r.whole("accepts_days", 366, 1, 3_650);
        String notices = r.text("gives_notice", "false", TermsFile::isFlag, "true or false");
        r.end();
        PartnerAgreement agreement = proposes ? agreementOf(r, proposal) : null;
        return new Terms(
                agreement,
                Double.parseDouble(leastPart),
                (int) mostBrings,
                (int) leastFloor,
                mostAlone,
                (int) mostMoves,
                mostDays * DAY_MS,
                notices.equals("true"));
    }

    /** The agreement that the proposal's keys describe; a fault where they do not make one. */
    private static PartnerAgreement agreementOf(FleetFile.Reader r, ProposalKeys keys)
            throws FleetFile.InvalidFileException {
        List<Party> parties = partiesOf(keys.parties()); // outside the try: the pattern has checked them
        PartnerAgreement agreement = null;
        try {
            agreement = new PartnerAgreement(
                    keys.name(),
                    (int) keys.revision(),
                    parties,
                    Instant.parse(keys.from()).toEpochMilli(),
                    Instant.parse(keys.until()).toEpochMilli(),
                    keys.aloneMs(),
                    keys.standIn().equals("true"),
                    (int) keys.moves(),
                    keys.epochMs(),
                    keys.noticeMs());
        } catch (IllegalArgumentException e) {
            r.fault(null, "parties: " + e.getMessage());
        }
        r.end();
        return agreement;
    }

    /** Parties by operator's name, from lines that the pattern has already matched. */
    private static List<Party> partiesOf(List<String> lines) {
        List<Party> all = new ArrayList<>();
        for (String text : lines) {
            Matcher m = PARTY.matcher(text);
            m.matches();
            all.add(new Party(
                    m.group(1),
                    Integer.parseInt(m.group(2)),
                    Integer.parseInt(m.group(3)),
                    Integer.parseInt(m.group(4))));
        }
        all.sort(Comparator.comparing(Party::operator));
        return all;
    }

    private static boolean isFlag(String text) {
        return text.equals("true") || text.equals("false");
    }

    private static boolean isTime(String text) {
        try {
            Instant.parse(text);
            return true;
        } catch (DateTimeParseException e) {
            return false;
        }
    }
}
