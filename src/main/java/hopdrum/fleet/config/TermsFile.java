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

/**
 * Reads the terms file, which the key terms of the fleet file names. A terms file states which agreement an operator
 * proposes to its partners and which agreements it accepts.
 */
public final class TermsFile {
    private static final Pattern PARTY_PATTERN =
            Pattern.compile("([A-Za-z0-9][A-Za-z0-9._-]*) brings (\\d{1,6}), owed (\\d{1,6}), floor (\\d{1,6})");
    private static final String PARTY_FORM = "a party, such as 'north brings 100, owed 60, floor 20'";
    private static final String TIME_FORM = "a time, such as 2026-12-02T00:00:00Z";
    private static final String EPOCH_START = "1970-01-01T00:00:00Z";
    private static final Pattern SHARE_PATTERN = Pattern.compile("[01](\\.\\d{1,6})?|2"); // 2 accepts no agreement
    private static final long DAY_MS = 86_400_000;

    private TermsFile() {}

    /** The values of a proposal's keys, each of them valid, but not yet checked for consistency. */
    private record ProposalKeys(
            String name,
            long revision,
            List<String> parties,
            String from,
            String until,
            long aloneMs,
            boolean standIn,
            long maxMovesPerEpoch,
            long epochMs,
            long noticeMs) {

        /** Reads the keys in the order of the documentation, so that missing keys are reported in that order. */
        static ProposalKeys read(YamlFileReader reader, boolean isProposal) {
            long revision = reader.wholeNumber("revision", 1, 1, 1_000_000);
            String name = reader.text("agreement", isProposal ? null : "none", Member::isName, "a name");
            List<String> parties = reader.list(
                    "parties", isProposal, text -> PARTY_PATTERN.matcher(text).matches(), PARTY_FORM);
            String from = reader.text("from", EPOCH_START, TermsFile::isTime, TIME_FORM);
            String until = reader.text("until", isProposal ? null : EPOCH_START, TermsFile::isTime, TIME_FORM);
            long aloneMs = reader.wholeNumber("alone_ms", 10_000, 0, 240_000);
            boolean standIn = reader.flag("stand_in");
            long maxMovesPerEpoch = reader.wholeNumber("moves", 8, 1, 256);
            long epochMs = reader.wholeNumber("epoch_ms", 60_000, 100, 3_600_000);
            long noticeMs = reader.wholeNumber("notice_ms", 0, 0, 3_650 * DAY_MS);
            return new ProposalKeys(
                    name, revision, parties, from, until, aloneMs, standIn, maxMovesPerEpoch, epochMs, noticeMs);
        }
    }

    /**
     * Reads a terms file and reports all its faults together.
     *
     * @param file the path of the operator's terms file
     * @return the operator's proposal and acceptance limits
     * @throws InvalidFileException if the file cannot be read or has a fault; the message lists all faults
     */
    public static AgreementTerms read(Path file) throws InvalidFileException {
        YamlFileReader reader = YamlFileReader.open(file);
        boolean hasProposal = reader.has("revision");
        ProposalKeys proposal = ProposalKeys.read(reader, hasProposal);
        String minShare = reader.text(
                "accepts_part", "2", text -> SHARE_PATTERN.matcher(text).matches(), "a fraction from 0 to 1");
        long maxCapacity = reader.wholeNumber("accepts_brings", 0, 0, 1_000_000);
        long minFloor = reader.wholeNumber("accepts_floor", 0, 0, 1_000_000);
        long maxAloneMs = reader.wholeNumber("accepts_alone_ms", 240_000, 0, 240_000);
        long maxMoves = reader.wholeNumber("accepts_moves", 256, 1, 256);
        long maxDays = reader.wholeNumber("accepts_days", 366, 1, 3_650);
        boolean givesNotice = reader.flag("gives_notice");
        reader.throwIfFaulty();
        return new AgreementTerms(
                hasProposal ? toAgreement(reader, proposal) : null,
                Double.parseDouble(minShare),
                (int) maxCapacity,
                (int) minFloor,
                maxAloneMs,
                (int) maxMoves,
                maxDays * DAY_MS,
                givesNotice);
    }

    /** Makes the agreement that the keys describe; adds a fault and throws if the keys contradict each other. */
    private static PartnerAgreement toAgreement(YamlFileReader reader, ProposalKeys keys) throws InvalidFileException {
        List<Party> parties = toParties(keys.parties()); // outside the try block: the lines are already valid
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
                    (int) keys.maxMovesPerEpoch(),
                    keys.epochMs(),
                    keys.noticeMs());
        } catch (IllegalArgumentException e) {
            reader.addFault(null, "parties: " + e.getMessage());
        }
        reader.throwIfFaulty();
        return agreement;
    }

    /** Parses lines that are known to match the pattern, and sorts the parties by operator. */
    private static List<Party> toParties(List<String> lines) {
        List<Party> parties = new ArrayList<>();
        for (String line : lines) {
            Matcher matcher = PARTY_PATTERN.matcher(line);
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
