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
 * Stores the durable state of a member: its identity as a voter, the last settled view, and its votes on the next view.
 * The state is one checksummed file, which is replaced atomically: a new file is written, forced to disk and renamed.
 * The folder is locked while the store is open, so that no two processes act as the same voter. Not thread-safe.
 */
public final class Store implements AutoCloseable {
    /**
     * The state of a member that must survive a restart.
     *
     * @param voter the voter number, drawn when the store was created
     * @param lastStart the number of the last start
     * @param view the last settled view
     * @param promised the promised ballot: no view is accepted in a lower ballot as the settled view's successor
     * @param acceptedIn the ballot in which a view was accepted; null if no view was accepted
     * @param accepted the accepted view; null if no view was accepted
     */
    public record DurableState(
            long voter, long lastStart, View view, Ballot promised, Ballot acceptedIn, View accepted) {}

    private static final ObjectMapper MAPPER = new CBORMapper();
    private static final int HEADER_BYTES = 12; // MAGIC, length, checksum
    private static final int MAGIC = 0x68646631; // "hdf1"
    private static final String FILE_NAME = "member.cbor";

    private final Path folder;
    private final FileChannel lockChannel;
    private final FileLock lock;
    private String damage;

    /**
     * Opens and locks a store; creates its folder if that does not exist.
     *
     * @param folder the store's folder
     * @throws IOException if the folder cannot be used or is locked, with a message of one line
     */
    public Store(Path folder) throws IOException {
        this.folder = folder;
        Files.createDirectories(folder);
        lockChannel = FileChannel.open(folder.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            lock = lockChannel.tryLock();
        } catch (OverlappingFileLockException e) {
            lockChannel.close();
            throw new IOException("the store " + folder + " is already open in this process", e);
        }
        if (lock == null) {
            lockChannel.close();
            throw new IOException("the store " + folder + " is locked by another process");
        }
    }

    /**
     * Reads the state. A damaged file is renamed, and so kept for inspection.
     *
     * @return the state; null if there is none, or if the file is damaged, in which case {@link #damage} says how
     */
    public DurableState read() {
        Path file = folder.resolve(FILE_NAME);
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
                damage = "the magic number, length or checksum is wrong";
            } else {
                return MAPPER.readValue(bytes, HEADER_BYTES, bytes.length - HEADER_BYTES, DurableState.class);
            }
        } catch (IOException | IllegalArgumentException e) {
            damage = String.valueOf(e.getMessage()).lines().findFirst().orElse("unreadable");
        }
        renameDamagedFile(file);
        return null;
    }

    private void renameDamagedFile(Path file) {
        try {
            Files.move(file, folder.resolve(FILE_NAME + ".damaged"), StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            damage += "; the file could not be renamed: " + e.getMessage();
        }
    }

    /**
     * Returns what was wrong with the file in the last call of {@link #read}.
     *
     * @return one line; null if the file was sound or did not exist
     */
    public String damage() {
        return damage;
    }

    /**
     * Replaces the state, and returns once the new state is durable. A vote whose write fails must not be sent.
     *
     * @param state the new state
     * @throws IOException if the state could not be written
     */
    public void write(DurableState state) throws IOException {
        byte[] body = MAPPER.writeValueAsBytes(state);
        ByteBuffer bytes = ByteBuffer.allocate(HEADER_BYTES + body.length)
                .putInt(MAGIC)
                .putInt(body.length)
                .putInt(checksum(body, 0))
                .put(body)
                .flip();
        Path newFile = folder.resolve(FILE_NAME + ".new");
        try (FileChannel file = FileChannel.open(
                newFile, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            while (bytes.hasRemaining()) {
                file.write(bytes);
            }
            file.force(true);
        }
        Files.move(
                newFile,
                folder.resolve(FILE_NAME),
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
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
