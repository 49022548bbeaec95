package hopdrum.rig.soak;

import hopdrum.rig.soak.SoakRecords.RequestRecord;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.SplittableRandom;

/**
 * A client that sends a request, some with many others behind it, and leaves before the answer, by a close, a half-close
 * or a reset. Sometimes it sends the same request once more after that.
 */
final class LeavingClient implements Runnable {
    private static final int MAX_WAIT_MS = 700;
    private static final int MAX_PAUSE_MS = 100;
    private static final int TIMEOUT_MS = 4000;
    private static final int[] PIPELINED_BYTES = {0, 0, 20_000, 200_000, 1_000_000};

    private final SoakPlan plan;
    private final SoakRecords records;
    private final SoakSchedule schedule;
    private final SplittableRandom random;
    private final String name;

    LeavingClient(int number, SoakPlan plan, SoakRecords records, SoakSchedule schedule) {
        this.plan = plan;
        this.records = records;
        this.schedule = schedule;
        this.random = new SplittableRandom(plan.seed() * 2003 + number);
        this.name = "leaving" + number;
    }

    @Override
    public void run() {
        try {
            for (int i = 0; !schedule.hasEnded() && !schedule.isTerminating(); i++) {
                boolean idempotent = random.nextInt(3) == 0;
                String id = name + "-" + i;
                long customer = random.nextInt(1000);
                boolean isUnanswered = leave(id, idempotent, customer);
                if (isUnanswered && random.nextInt(3) == 0) {
                    Thread.sleep(random.nextInt(1, MAX_PAUSE_MS));
                    comeAgain(id, idempotent, customer);
                }
                Thread.sleep(random.nextInt(1, MAX_PAUSE_MS));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns whether no answer had come when the client left. */
    private boolean leave(String id, boolean idempotent, long customer) throws InterruptedException {
        byte[] request = SoakRequests.request(id, idempotent, customer, TIMEOUT_MS, 0);
        byte[] pipelined = pipelined(id, PIPELINED_BYTES[random.nextInt(PIPELINED_BYTES.length)]);
        RequestRecord record = records.sent(id, idempotent, TIMEOUT_MS);
        boolean isUnanswered = false;
        try (SocketChannel channel = SocketChannel.open(schedule.frontDoor)) {
            channel.write(ByteBuffer.wrap(request));
            channel.configureBlocking(false);
            channel.write(ByteBuffer.wrap(pipelined));
            Thread.sleep(random.nextInt(MAX_WAIT_MS));
            isUnanswered = channel.read(ByteBuffer.allocate(1)) == 0;
            switch (random.nextInt(3)) {
                case 0 -> channel.setOption(StandardSocketOptions.SO_LINGER, 0);
                case 1 -> {
                    channel.shutdownOutput();
                    record.leftNanos = System.nanoTime();
                    Thread.sleep(MAX_WAIT_MS);
                }
                default -> {}
            }
        } catch (IOException e) {
            // The front door has ended the connection first.
        }
        record.leftNanos = record.leftNanos == 0 ? System.nanoTime() : record.leftNanos;
        return isUnanswered;
    }

    private byte[] pipelined(String id, int bytes) {
        ByteArrayOutputStream requests = new ByteArrayOutputStream();
        for (int i = 0; requests.size() < bytes; i++) {
            requests.writeBytes(SoakRequests.request(id + "." + i, false, random.nextInt(1000), TIMEOUT_MS, 0));
        }
        return requests.toByteArray();
    }

    /** Sends the request once more; its attempts are those of a client that stays. */
    private void comeAgain(String id, boolean idempotent, long customer) {
        RequestRecord repeat = records.sent(id, idempotent, plan.deadlineMs());
        try (SocketChannel channel = SocketChannel.open(schedule.frontDoor)) {
            channel.write(ByteBuffer.wrap(SoakRequests.request(id, idempotent, customer, plan.deadlineMs(), 0)));
            channel.socket().setSoTimeout(plan.deadlineMs());
            channel.socket().getInputStream().read();
        } catch (IOException e) {
            // No answer: what counts is that it does not run twice.
        }
        repeat.leftNanos = System.nanoTime();
    }
}
