package hopdrum.host;

import java.nio.ByteBuffer;

/**
 * What a gateway tells others of a customer. On the wire 9 bytes, big-endian: customer 5, credit 4 as a float.
 *
 * @param customer the customer's key
 * @param remainingUnits the units that its store still holds, as read from the counter
 */
public record CreditGossip(long customer, double remainingUnits) {
    private static final int BYTES = 9;

    /** The message as it goes to other gateways. */
    public byte[] encode() {
        return ByteBuffer.allocate(BYTES)
                .put((byte) (customer >> 32))
                .putInt((int) customer)
                .putFloat((float) remainingUnits)
                .array();
    }

    /** The content of a message; null for one that is not of this kind. */
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
