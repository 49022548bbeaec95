package hopdrum.fleet.store;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import hopdrum.fleet.message.Ballot;
import hopdrum.fleet.message.View;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.zip.CRC32C;

/**
 * The durable state of a member: its identity as a voter, the last settled view, and what it has promised for the next. One
 * checksummed file, written beside, forced and moved into place before any promise is answered. The folder is locked
 * while the store is open: guards against one voter in two processes. Not thread-safe.
 */
public final class Store implements AutoCloseable {
    /**
     * What a member must not forget over a restart.
     *
     * @param voter the voter's number, drawn when the store was made
     * @param lastStart the last start's number
     * @param view the last settled view
     * @param promised below this ballot nothing is accepted for the view after it
     * @param acceptedIn the ballot in which a view was accepted; null if none was
     * @param accepted the view that was accepted; null if none was
     */
    public record DurableState(
            long voter, long lastStart, View view, Ballot promised, Ballot acceptedIn, View accepted) {}

    private static final ObjectMapper MAPPER = new CBORMapper();
    private static final int HEADER_BYTES = 12; // MAGIC, length, checksum
    private static final int MAGIC = 0x68646631; // "hdf1"
    private static final String FILE = "member.cbor";

    private final Path folder;
    private final FileChannel lockChannel;
    private final FileLock lock;
    private String damage;

    /**
     * Opens and locks a store, making its folder where there is none.
     *
     * @param folder the store's folder
     * @throws IOException with one line, where the folder cannot be used or is another process's
     */
    public Store(Path folder) throws IOException {
        this.folder = folder;
        Files.createDirectories(folder);
        lockChannel = FileChannel.open(folder.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            lock = lockChannel.tryLock();
        } catch (OverlappingFileLockException e) {
            lockChannel.close();
            throw new IOException("the store " + folder + " is in use here already", e);
        }
        if (lock == null) {
            lockChannel.close();
            throw new IOException("the store " + folder + " is another process's");
        }
    }

    /**
     * Reads the state. A damaged file is renamed and kept for inspection.
     *
     * @return the state; null where there is none, or it is corrupt: then {@link #damage} has the reason
     */
    public DurableState read() {
        Path file = folder.resolve(FILE);
        damage = null;
        try {
            if (!Files.exists(file)) {
                return null;
            }
            byte[] bytes = Files.readAllBytes(file);
            ByteBuffer header = ByteBuffer.wrap(bytes);
            if (bytes.length < HEADER_BYTES
                    || header.getInt() != MAGIC
                    || header.getInt() != bytes.length - HEADER_BYTES
                    || header.getInt() != checksum(bytes, HEADER_BYTES)) {
                damage = "its length or checksum is wrong";
            } else {
                return MAPPER.readValue(bytes, HEADER_BYTES, bytes.length - HEADER_BYTES, DurableState.class);
            }
        } catch (IOException | IllegalArgumentException e) {
            damage = String.valueOf(e.getMessage()).lines().findFirst().orElse("unreadable");
        }
        setAside(file);
        return null;
    }

    private void setAside(Path file) {
        try {
            Files.move(file, folder.resolve(FILE + ".damaged"), StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            damage += "; it could not be set aside: " + e.getMessage();
        }
    }

    /**
     * Returns what was wrong with the file that {@link #read} read last.
     *
     * @return one line; null where it was sound or was not there
     */
    public String damage() {
        return damage;
    }

    /**
     * Replaces the state; returns once it is durable. A vote whose write fails must not be cast.
     *
     * @param state the state
     * @throws IOException where it could not be written
     */
    public void write(DurableState state) throws IOException {
        byte[] body = MAPPER.writeValueAsBytes(state);
        ByteBuffer bytes = ByteBuffer.allocate(HEADER_BYTES + body.length)
                .putInt(MAGIC)
                .putInt(body.length)
                .putInt(checksum(body, 0))
                .put(body)
                .flip();
        Path fresh = folder.resolve(FILE + ".new");
        try (FileChannel file = FileChannel.open(
                fresh, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            while (bytes.hasRemaining()) {
                file.write(bytes);
            }
            file.force(true);
        }
        Files.move(fresh, folder.resolve(FILE), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
            directory.force(true);
        }
    }

    private static int checksum(byte[] bytes, int from) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, bytes.length - from);
        return (int) crc.getValue();
    }

    @Override
    public void close() throws IOException {
        lock.release();
        lockChannel.close();
    }
}
