package hopdrum.host;

import java.nio.ByteBuffer;

/**
 * A message that tells other gateways the remaining units of a customer. The encoded message has 9 bytes in big-endian
 * order: the customer's key in 5 bytes and the remaining units as a 4-byte float.
 *
 * @param customer the customer's key
 * @param remainingUnits the units that the customer had left when the counter was last read; negative if the customer
 *     is beyond its quota
 */
public record CreditGossip(long customer, double remainingUnits) {
    private static final int BYTES = 9;

    /** Returns the encoded message as it is sent to other gateways. */
    public byte[] encode() {
        return ByteBuffer.allocate(BYTES)
                .put((byte) (customer >> 32))
                .putInt((int) customer)
                .putFloat((float) remainingUnits)
                .array();
    }

    /** Decodes a message; returns null if its length is wrong or its units are not a finite number. */
    public static CreditGossip decode(byte[] message) {
        if (message.length != BYTES) {
            return null;
        }
        ByteBuffer bytes = ByteBuffer.wrap(message);
        long customer = (bytes.get() & 0xFFL) << 32 | (bytes.getInt() & 0xFFFFFFFFL);
        float units = bytes.getFloat();
        return Float.isFinite(units) ? new CreditGossip(customer, units) : null;
    }
}
