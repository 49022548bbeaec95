package hopdrum.rig.soak;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/** Clients that connect at once, then write slowly or stop in the middle of a long request, and stay. */
final class StalledClients implements Runnable {
    private static final int INTERVAL_MS = 50;
    private static final int ROUND_MS = 3000;
    private static final int BODY_BYTES = 64 << 10;
    private static final int MISSING_BYTES = 100;

    private final SoakPlan plan;
    private final SoakSchedule schedule;

    StalledClients(SoakPlan plan, SoakSchedule schedule) {
        this.plan = plan;
        this.schedule = schedule;
    }

    @Override
    public void run() {
        try {
            while (!schedule.hasEnded() && !schedule.isTerminating()) {
                stallOnce();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void stallOnce() throws InterruptedException {
        List<SocketChannel> channels = new ArrayList<>();
        byte[] request = SoakRequests.request("stalled", false, 1, plan.deadlineMs(), BODY_BYTES);
        try {
            for (int i = 0; i < plan.stalledClients(); i++) {
                SocketChannel channel = SocketChannel.open(schedule.frontDoor);
                channel.configureBlocking(false);
                channels.add(channel);
            }
        } catch (IOException e) {
            // The front door or its listening queue takes no more.
        }
        for (int written = 0; written < ROUND_MS / INTERVAL_MS; written++) {
            for (int i = 0; i < channels.size(); i++) {
                boolean isSlow = i % 2 == 0;
                int from = isSlow ? written : 0;
                int length = isSlow ? 1 : written == 0 ? request.length - MISSING_BYTES : 0;
                writeQuietly(channels.get(i), ByteBuffer.wrap(request, from, length));
            }
            Thread.sleep(INTERVAL_MS);
        }
        channels.forEach(StalledClients::closeQuietly);
    }

    private static void writeQuietly(SocketChannel channel, ByteBuffer bytes) {
        try {
            channel.write(bytes);
        } catch (IOException e) {
            closeQuietly(channel);
        }
    }

    private static void closeQuietly(SocketChannel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            // The connection has ended in any case.
        }
    }
}
