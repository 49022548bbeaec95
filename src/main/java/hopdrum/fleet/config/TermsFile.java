package hopdrum.fleet.config;

import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.PartnerAgreement;
import hopdrum.fleet.message.PartnerAgreement.Party;
import hopdrum.fleet.shards.AgreementTerms;
import java.nio.file.Path;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The file that the fleet file's key terms names: what an operator proposes to partners and would agree to. */
public final class TermsFile {
    private static final Pattern PARTY =
            Pattern.compile("([A-Za-z0-9][A-Za-z0-9._-]*) brings (\\d{1,6}), owed (\\d{1,6}), floor (\\d{1,6})");
    private static final String PARTY_FORM = "a party, as 'north brings 100, owed 60, floor 20'";
    private static final String TIME_FORM = "a moment, as 2026-12-02T00:00:00Z";
    private static final String EPOCH_START = "1970-01-01T00:00:00Z";
    private static final Pattern SHARE = Pattern.compile("[01](\\.\\d{1,6})?|2"); // 2: agrees to nothing
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
            boolean standIn,
            long moves,
            long epochMs,
            long noticeMs) {

        /** Reads the proposal's keys in the file's documented order, so that missing keys are named in that order. */
        static ProposalKeys read(YamlFileReader reader, boolean isProposal) {
            long revision = reader.wholeNumber("revision", 1, 1, 1_000_000);
            String name = reader.text("agreement", isProposal ? null : "none", Member::isName, "a name");
            List<String> parties = reader.list(
                    "parties", isProposal, text -> PARTY.matcher(text).matches(), PARTY_FORM);
            String from = reader.text("from", EPOCH_START, TermsFile::isTime, TIME_FORM);
            String until = reader.text("until", isProposal ? null : EPOCH_START, TermsFile::isTime, TIME_FORM);
            long aloneMs = reader.wholeNumber("alone_ms", 10_000, 0, 240_000);
            boolean standIn = reader.flag("stand_in");
            long moves = reader.wholeNumber("moves", 8, 1, 256);
            long epochMs = reader.wholeNumber("epoch_ms", 60_000, 100, 3_600_000);
            long noticeMs = reader.wholeNumber("notice_ms", 0, 0, 3_650 * DAY_MS);
            return new ProposalKeys(name, revision, parties, from, until, aloneMs, standIn, moves, epochMs, noticeMs);
        }
    }

    /**
     * Reads a terms file; all its faults are found before any is reported.
     *
     * @param file the operator's terms file
     * @return what the operator proposes and would agree to
     * @throws InvalidFileException with all faults, each with file, line, key, what was found and what was expected
     */
    public static AgreementTerms read(Path file) throws InvalidFileException {
        YamlFileReader reader = YamlFileReader.open(file);
        boolean isProposal = reader.has("revision");
        ProposalKeys proposal = ProposalKeys.read(reader, isProposal);
        String minShare =
                reader.text("accepts_part", "2", text -> SHARE.matcher(text).matches(), "a part from 0 to 1");
        long maxCapacity = reader.wholeNumber("accepts_brings", 0, 0, 1_000_000);
        long minFloor = reader.wholeNumber("accepts_floor", 0, 0, 1_000_000);
        long maxAloneMs = reader.wholeNumber("accepts_alone_ms", 240_000, 0, 240_000);
        long maxMoves = reader.wholeNumber("accepts_moves", 256, 1, 256);
        long maxDays = reader.wholeNumber("accepts_days", 366, 1, 3_650);
        boolean givesNotice = reader.flag("gives_notice");
        reader.throwIfFaulty();
        return new AgreementTerms(
                isProposal ? toAgreement(reader, proposal) : null,
                Double.parseDouble(minShare),
                (int) maxCapacity,
                (int) minFloor,
                maxAloneMs,
                (int) maxMoves,
                maxDays * DAY_MS,
                givesNotice);
    }

    /** The agreement that the proposal's keys describe; a fault where they contradict each other. */
    private static PartnerAgreement toAgreement(YamlFileReader reader, ProposalKeys keys) throws InvalidFileException {
        List<Party> parties = toParties(keys.parties()); // outside the try: the pattern has checked them
        PartnerAgreement agreement = null;
        try {
            agreement = new PartnerAgreement(
                    keys.name(),
                    (int) keys.revision(),
                    parties,
                    Instant.parse(keys.from()).toEpochMilli(),
                    Instant.parse(keys.until()).toEpochMilli(),
                    keys.aloneMs(),
                    keys.standIn(),
                    (int) keys.moves(),
                    keys.epochMs(),
                    keys.noticeMs());
        } catch (IllegalArgumentException e) {
            reader.addFault(null, "parties: " + e.getMessage());
        }
        reader.throwIfFaulty();
        return agreement;
    }

    /** Parties by operator's name, from lines that the pattern has already matched. */
    private static List<Party> toParties(List<String> lines) {
        List<Party> parties = new ArrayList<>();
        for (String line : lines) {
            Matcher matcher = PARTY.matcher(line);
            matcher.matches();
            parties.add(new Party(
                    matcher.group(1),
                    Integer.parseInt(matcher.group(2)),
                    Integer.parseInt(matcher.group(3)),
                    Integer.parseInt(matcher.group(4))));
        }
        parties.sort(Comparator.comparing(Party::operator));
        return parties;
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
