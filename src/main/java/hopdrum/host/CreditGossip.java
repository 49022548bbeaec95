package hopdrum.host;

import java.nio.ByteBuffer;

/** What a gateway tells others of a customer: the units that its store still holds. 9 bytes: customer 5, credit 4. */
public record CreditGossip(long customer, double remainingUnits) {
    private static final int BYTES = 9;

    public byte[] encode() {
        return ByteBuffer.allocate(BYTES)
                .put((byte) (customer >> 32))
                .putInt((int) customer)
                .putFloat((float) remainingUnits)
                .array();
    }

    /** Null for a message that is not of this kind. */
    public static CreditGossip decode(byte[] message) {
        if (message.length != BYTES) {
            return null;
        }
        ByteBuffer said = ByteBuffer.wrap(message);
        long customer = (said.get() & 0xFFL) << 32 | (said.getInt() & 0xFFFFFFFFL);
        float units = said.getFloat();
        return Float.isFinite(units) ? new CreditGossip(customer, units) : null;
    }
}
