package hopdrum.frontdoor;

import hopdrum.frontdoor.connection.DiscoveredBackend;
import hopdrum.frontdoor.connection.ResourceBudget;
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
 * Follows discovery's endpoint list by a watch that is reopened whenever it ends or falls silent. Fetches the complete
 * list after a line that could not be read, and after a change of discovery's address.
 */
final class DiscoveryClient {
    private static final Log LOG = new Log("discovery");
    private static final int MAX_BUFFER_BYTES = 64 << 10;
    // A change that a silent watch misses counts as notified 6 s later: the silence that reveals it and two new watches
    // that stay silent fit within that.
    private static final long SILENCE_LIMIT_US = 3_000_000; // an empty line comes every 2 s
    private static final long REOPENED_FIRST_LINE_US = 700_000; // a watch reopened after silence responds at once
    private static final long MAX_FIRST_LINE_US = 2_000_000; // backoff: an outage may last
    private static final long CHECK_INTERVAL_US = 250_000;
    private static final long TRUNCATED_MESSAGE_US = 125_000; // without a byte in the middle of a message
    private static final long FETCH_TIMEOUT_US = 1_000_000; // a fetched list comes at once

    /** Is notified of endpoint lists and of the loss of the watch. */
    interface Listener {
        /**
         * An endpoint list has arrived.
         *
         * @param complete whether it names all backends; else it names changes
         */
        void endpointListReceived(List<DiscoveredBackend> backends, boolean complete);

        /** Discovery has refused or ended the watch, or does not respond. */
        void watchLost();
    }

    /** A line of a watch, or a fetched list. */
    private record ListMessage(long version, boolean complete, Map<?, ?> fields) {
        static ListMessage parse(String line) {
            if (!(JsonReader.parse(line) instanceof Map<?, ?> fields)
                    || !(fields.get("seq") instanceof Double seq)
                    || !(fields.get("whole") instanceof Boolean complete)) {
                throw new IllegalArgumentException("no list");
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
    private Connection formerWatch; // at the address before, until the complete list of the new one has arrived
    private long lastLineUs;
    private long firstLineTimeoutUs = SILENCE_LIMIT_US; // of a new watch
    private boolean completeListNeeded;
    private boolean closed;

    /**
     * A client that does nothing before {@link #start()}.
     *
     * @param version of the last known list; -1 without one
     */
    DiscoveryClient(EventLoop loop, InetSocketAddress address, long version, ResourceBudget budget, Listener listener) {
        this.loop = loop;
        this.address = address;
        this.version = version;
        this.budget = budget;
        this.listener = listener;
    }

    /** Opens the watch, and keeps it open until {@link #close()}. */
    void start() {
        checkPeriodically();
    }

    private void checkPeriodically() {
        if (!closed) {
            check();
            loop.scheduleAfter(CHECK_INTERVAL_US, this::checkPeriodically);
        }
    }

    /**
     * Follows discovery to another address. Versions there are not comparable: its complete list is fetched, and the
     * last list stands until then.
     */
    void updateAddress(InetSocketAddress current) {
        if (current.equals(address)) {
            return;
        }
        address = current;
        version = -1;
        completeListNeeded = true;
        close(formerWatch);
        formerWatch = watch;
        watch = null;
        close(fetch);
        check();
    }

    private void check() {
        if (watch != null && loop.nowUs() - watch.lastReadUs > TRUNCATED_MESSAGE_US) {
            watch.reader.flushIncompleteMessage(); // truncated: else only the next line, up to 2 s later, would show it
        }
        if (watch != null && loop.nowUs() - lastLineUs > silenceLimitUs()) {
            LOG.warning("the watch is silent and is reopened", null);
            boolean first = watch.hasReceivedLine || firstLineTimeoutUs == SILENCE_LIMIT_US;
            firstLineTimeoutUs =
                    first ? REOPENED_FIRST_LINE_US : Math.min(MAX_FIRST_LINE_US, firstLineTimeoutUs * 3 / 2);
            watch.close();
            listener.watchLost();
        }
        if (watch == null) {
            lastLineUs = loop.nowUs();
            watch = open(true);
        }
        if (completeListNeeded && fetch == null) {
            fetch = open(false);
        }
    }

    private long silenceLimitUs() {
        if (completeListNeeded) {
            return FETCH_TIMEOUT_US;
        }
        return watch.hasReceivedLine ? SILENCE_LIMIT_US : firstLineTimeoutUs;
    }

    private Connection open(boolean isWatch) {
        try {
            return new Connection(isWatch);
        } catch (IOException e) {
            LOG.warning("no connection to discovery", e.getMessage());
            listener.watchLost();
            return null;
        }
    }

    /** Closes all connections. */
    void close() {
        closed = true;
        close(watch);
        close(fetch);
        close(formerWatch);
    }

    private static void close(Connection connection) {
        if (connection != null) {
            connection.close();
        }
    }

    private void lineReceived(String line, Connection from) {
        if (from == watch) {
            lastLineUs = loop.nowUs();
            watch.hasReceivedLine = true;
        }
        if (line.isEmpty()) {
            return;
        }
        try {
            messageReceived(ListMessage.parse(line), from);
        } catch (IllegalArgumentException e) {
            LOG.warning("a line from discovery cannot be read, the complete list is fetched", e.getMessage());
            completeListNeeded = from != formerWatch || completeListNeeded;
            if (from == watch && fetch == null) {
                fetch = open(false);
            }
        }
    }

    private void messageReceived(ListMessage message, Connection from) {
        if (from != watch && from != formerWatch && message.version < version) {
            return; // the watch has brought a newer list since
        }
        listener.endpointListReceived(DiscoveredBackend.parseList(message.fields), message.complete);
        if (from == formerWatch) {
            return; // versions at the former address are not comparable
        }
        if (message.complete) {
            completeListNeeded = false;
            close(formerWatch);
        }
        version = message.version;
    }

    private final class Connection extends StreamConnection {
        private final boolean isWatch;
        private final EndpointListReader reader;
        private boolean hasReceivedLine;
        private long lastReadUs = DiscoveryClient.this.loop.nowUs();

        Connection(boolean isWatch) throws IOException {
            super(DiscoveryClient.this.loop, address, MAX_BUFFER_BYTES, MAX_BUFFER_BYTES, budget);
            this.isWatch = isWatch;
            this.reader = new EndpointListReader(line -> lineReceived(line, this));
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
                LOG.warning("discovery's response cannot be read", e.getMessage());
                close();
            }
        }

        @Override
        protected void disconnected(CloseCause cause) {
            if (isWatch) {
                LOG.info("the watch has ended and is reopened", null);
                firstLineTimeoutUs =
                        SILENCE_LIMIT_US; // after an outage discovery may serve its callers one after another
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
