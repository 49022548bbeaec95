package hopdrum.frontdoor;

import hopdrum.frontdoor.connection.DiscoveredBackend;
import hopdrum.frontdoor.connection.MemoryBudget;
import hopdrum.frontdoor.connection.ResourceBudget;
import hopdrum.frontdoor.lifecycle.BufferLimits;
import hopdrum.frontdoor.lifecycle.CloseCause;
import hopdrum.frontdoor.lifecycle.EventLoop;
import hopdrum.frontdoor.lifecycle.Log;
import hopdrum.frontdoor.lifecycle.StreamConnection;
import hopdrum.frontdoor.wire.EndpointListReader;
import hopdrum.frontdoor.wire.JsonReader;
import hopdrum.frontdoor.wire.MalformedMessageException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;

/**
 * Follows discovery's endpoint list through a watch, which is reopened whenever it ends or falls silent. Fetches the
 * complete list after an invalid line and after a change of discovery's address.
 */
final class DiscoveryClient {
    private static final Log LOG = new Log("discovery");
    private static final int MAX_BUFFER_BYTES = 64 << 10;
    // A list takes up to some thirty times its length on the heap while it is parsed and applied.
    private static final long MAX_LIST_HEAP_DIVISOR = 32;
    private static final int MAX_LIST_BYTES =
            (int) Math.min(8 << 20, Runtime.getRuntime().maxMemory() / MAX_LIST_HEAP_DIVISOR);
    // A change that a silent watch misses counts as notified 6 s later. Detecting the silence and trying two further
    // watches that stay silent too must take less than that.
    private static final long SILENCE_LIMIT_US = 3_000_000; // discovery sends an empty line every 2 s
    private static final long REOPENED_FIRST_LINE_TIMEOUT_US = 700_000; // discovery responds at once
    private static final long MAX_FIRST_LINE_TIMEOUT_US = 2_000_000; // upper limit of the backoff during a long outage
    private static final long CHECK_INTERVAL_US = 250_000;
    // An incomplete message counts as truncated after this time without another byte.
    private static final long MESSAGE_STALL_LIMIT_US = 125_000;
    private static final long FETCH_TIMEOUT_US = 1_000_000; // discovery responds to a fetch at once

    /** Is notified when an endpoint list arrives and when the watch is lost. */
    interface Listener {
        /**
         * Called when an endpoint list has arrived.
         *
         * @param backends the listed backends
         * @param complete whether the list names all backends; if not, it names the changed ones
         */
        void endpointListReceived(List<DiscoveredBackend> backends, boolean complete);

        /** Called when discovery has refused or ended the watch, or does not respond. */
        void watchLost();
    }

    /** An endpoint list: one line of a watch, or a fetched complete list. */
    private record ListMessage(long version, boolean complete, Map<?, ?> fields) {
        static ListMessage parse(String line) {
            if (!(JsonReader.parse(line) instanceof Map<?, ?> fields)
                    || !(fields.get("seq") instanceof Double seq)
                    || !(fields.get("whole") instanceof Boolean complete)) {
                throw new IllegalArgumentException("an endpoint list needs a number \"seq\" and a boolean \"whole\"");
            }
            return new ListMessage(seq.longValue(), complete, fields);
        }
    }

    private final EventLoop loop;
    private InetSocketAddress address;
    private final ResourceBudget budget;
    private final Listener listener;
    private long version;
    private Connection watch;
    private Connection fetch;
    private Connection formerWatch; // at the former address, until the complete list of the new one has arrived
    private long lastLineUs;
    private long firstLineTimeoutUs = SILENCE_LIMIT_US; // for the first line of a new watch
    private boolean completeListNeeded;
    private boolean closed;

    /**
     * Creates a client that does nothing before {@link #start()}.
     *
     * @param address discovery's address
     * @param version the version of the last known list; -1 if there is none
     */
    DiscoveryClient(EventLoop loop, InetSocketAddress address, long version, ResourceBudget budget, Listener listener) {
        this.loop = loop;
        this.address = address;
        this.version = version;
        this.budget = budget;
        this.listener = listener;
    }

    /** Opens the watch and keeps it open until {@link #close()}. */
    void start() {
        checkWatchPeriodically();
    }

    private void checkWatchPeriodically() {
        if (!closed) {
            ensureWatchIsLive();
            loop.scheduleAfter(CHECK_INTERVAL_US, this::checkWatchPeriodically);
        }
    }

    /**
     * Switches to another address of discovery. List versions of different addresses are not comparable, so the
     * complete list is fetched from the new address. The last list stays in force until that list has arrived.
     */
    void updateAddress(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        address = newAddress;
        version = -1;
        completeListNeeded = true;
        closeIfOpen(formerWatch);
        formerWatch = watch;
        watch = null;
        closeIfOpen(fetch);
        ensureWatchIsLive();
    }

    private void ensureWatchIsLive() {
        if (watch != null && loop.nowUs() - watch.lastReadUs > MESSAGE_STALL_LIMIT_US) {
            // Otherwise only the next line, up to 2 s later, would reveal that a message is truncated.
            watch.reader.flushIncompleteMessage();
        }
        if (watch != null && loop.nowUs() - lastLineUs > silenceLimitUs()) {
            LOG.warning("the watch has fallen silent, reopening it", null);
            boolean isFirstSilence = watch.hasReceivedLine || firstLineTimeoutUs == SILENCE_LIMIT_US;
            firstLineTimeoutUs = isFirstSilence
                    ? REOPENED_FIRST_LINE_TIMEOUT_US
                    : Math.min(MAX_FIRST_LINE_TIMEOUT_US, firstLineTimeoutUs * 3 / 2);
            watch.close();
            listener.watchLost();
        }
        if (watch == null) {
            lastLineUs = loop.nowUs();
            watch = openConnection(true);
        }
        if (completeListNeeded && fetch == null) {
            fetch = openConnection(false);
        }
    }

    private long silenceLimitUs() {
        if (completeListNeeded) {
            return FETCH_TIMEOUT_US;
        }
        return watch.hasReceivedLine ? SILENCE_LIMIT_US : firstLineTimeoutUs;
    }

    private Connection openConnection(boolean isWatch) {
        try {
            return new Connection(isWatch);
        } catch (IOException e) {
            LOG.warning("cannot open a connection to discovery", e.getMessage());
            listener.watchLost();
            return null;
        }
    }

    /** Closes all connections. */
    void close() {
        closed = true;
        closeIfOpen(watch);
        closeIfOpen(fetch);
        closeIfOpen(formerWatch);
    }

    private static void closeIfOpen(Connection connection) {
        if (connection != null) {
            connection.close();
        }
    }

    private void lineReceived(String line, Connection source) {
        if (source == watch) {
            lastLineUs = loop.nowUs();
            watch.hasReceivedLine = true;
        }
        if (line.isEmpty()) {
            return;
        }
        try {
            messageReceived(ListMessage.parse(line), source);
        } catch (IllegalArgumentException e) {
            LOG.warning("invalid line from discovery, fetching the complete list", e.getMessage());
            completeListNeeded = source != formerWatch || completeListNeeded;
            if (source == watch && fetch == null) {
                fetch = openConnection(false);
            }
        }
    }

    private void messageReceived(ListMessage message, Connection source) {
        if (source != watch && source != formerWatch && message.version < version) {
            return; // the watch has delivered a newer list in the meantime
        }
        listener.endpointListReceived(DiscoveredBackend.parseList(message.fields), message.complete);
        if (source == formerWatch) {
            return; // versions at the former address are not comparable
        }
        if (message.complete) {
            completeListNeeded = false;
            closeIfOpen(formerWatch);
        }
        version = message.version;
    }

    /** A connection to discovery, for a watch or for one fetch of the complete list. */
    private final class Connection extends StreamConnection {
        private final boolean isWatch;
        private final EndpointListReader reader;
        private boolean hasReceivedLine;
        private long lastReadUs = DiscoveryClient.this.loop.nowUs();

        Connection(boolean isWatch) throws IOException {
            super(
                    DiscoveryClient.this.loop,
                    address,
                    new BufferLimits(MAX_BUFFER_BYTES, budget.memoryFor(MemoryBudget.Purpose.CONTROL)),
                    new BufferLimits(MAX_BUFFER_BYTES, budget.memoryFor(MemoryBudget.Purpose.CONTROL)));
            this.isWatch = isWatch;
            this.reader = new EndpointListReader(MAX_LIST_BYTES, line -> lineReceived(line, this));
            EndpointListReader.writeRequest(
                    isWatch, version, address.getAddress().getHostAddress() + ":" + address.getPort(), out);
            flush();
            if (!isWatch) {
                loop.scheduleAfter(FETCH_TIMEOUT_US, this::close);
            }
        }

        @Override
        protected void bytesReceived() {
            lastReadUs = DiscoveryClient.this.loop.nowUs();
            try {
                if (reader.read(in)) {
                    close();
                }
            } catch (MalformedMessageException e) {
                LOG.warning("invalid response from discovery", e.getMessage());
                close();
            }
        }

        @Override
        protected void disconnected(CloseCause cause) {
            if (isWatch) {
                LOG.info("the watch has ended, reopening it", null);
                // After an outage discovery may serve its clients one after another.
                firstLineTimeoutUs = SILENCE_LIMIT_US;
                listener.watchLost();
            }
        }

        @Override
        protected void connectionClosed() {
            if (watch == this) {
                watch = null;
            }
            if (fetch == this) {
                fetch = null;
            }
            if (formerWatch == this) {
                formerWatch = null;
            }
        }
    }
}
