package hopdrum.frontdoor;

import hopdrum.frontdoor.connection.ResourceBudget;
import hopdrum.frontdoor.lifecycle.EventLoop;
import hopdrum.frontdoor.lifecycle.Log;
import hopdrum.frontdoor.lifecycle.StreamConnection;
import hopdrum.frontdoor.wire.EndpointListReader;
import hopdrum.frontdoor.wire.JsonReader;
import hopdrum.frontdoor.wire.MalformedMessageException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;

/** Follows the list of backends: one watch, kept up; a whole list after a line that could not be read. */
final class DiscoveryClient {
    private static final Log LOG = new Log("discovery");
    private static final int MOST_BYTES = 64 << 10;
    // What a silent watch misses counts as told 6 s later: the silence, and two new watches that say nothing, stay
    // within.
    private static final long SILENT_US =
            3_000_000; // an empty line comes every 2 s: guards against a silent connection
    private static final long FIRST_WORD_US = 700_000; // of a watch opened for a silent one: it is answered at once
    private static final long MOST_FIRST_WORD_US =
            2_000_000; // each further one is waited for longer, an outage may last
    private static final long AGAIN_US = 250_000;
    private static final long CUT_US = 125_000; // no bytes amid a message for so long: it was cut short
    private static final long NO_LIST_US = 1_000_000; // a list that is asked for comes at once

    /** Who is told of the list. */
    interface Owner {
        /** Throws IllegalArgumentException where the message cannot be understood. */
        void told(Map<?, ?> message, boolean whole);

        /** Discovery has refused or ended the watch, or does not answer. */
        void lost();
    }

    private final EventLoop loop;
    private InetSocketAddress address;
    private final ResourceBudget budget;
    private final Owner owner;
    private long version;
    private Connection watch;
    private Connection fetch;
    private Connection former; // the watch at the address before, until the new one has told its whole list
    private long lastHeardUs;
    private long firstWordUs = SILENT_US; // what a new watch has for its first word
    private boolean wholeNeeded;
    private boolean closed;

    DiscoveryClient(EventLoop loop, InetSocketAddress address, long version, ResourceBudget budget, Owner owner) {
        this.loop = loop;
        this.address = address;
        this.version = version;
        this.budget = budget;
        this.owner = owner;
    }

    void start() {
        keepUp();
    }

    private void keepUp() {
        if (!closed) {
            look();
            loop.in(AGAIN_US, this::keepUp);
        }
    }

    /** Versions at another address are others: its whole list is needed, and what is known stands until then. */
    void moveTo(InetSocketAddress now) {
        if (now.equals(address)) {
            return;
        }
        address = now;
        version = -1;
        wholeNeeded = true;
        close(former);
        former = watch;
        watch = null;
        close(fetch);
        look();
    }

    private void look() {
        if (watch != null && loop.nowUs() - watch.readUs > CUT_US) {
            watch.reader.endOpenMessage(); // cut short: guards against waiting for the next line, 2 s, to see it
        }
        if (watch != null && loop.nowUs() - lastHeardUs > patienceUs()) {
            LOG.warning("the watch is silent and opened anew", null);
            boolean first = watch.hasSpoken || firstWordUs == SILENT_US;
            firstWordUs = first ? FIRST_WORD_US : Math.min(MOST_FIRST_WORD_US, firstWordUs * 3 / 2);
            watch.close();
            owner.lost();
        }
        if (watch == null) {
            lastHeardUs = loop.nowUs();
            watch = open(true);
        }
        if (wholeNeeded && fetch == null) {
            fetch = open(false);
        }
    }

    private long patienceUs() {
        if (wholeNeeded) {
            return NO_LIST_US;
        }
        return watch.hasSpoken ? SILENT_US : firstWordUs;
    }

    private Connection open(boolean isWatch) {
        try {
            return new Connection(isWatch);
        } catch (IOException e) {
            LOG.warning("no connection to discovery", e.getMessage());
            owner.lost();
            return null;
        }
    }

    void close() {
        closed = true;
        close(watch);
        close(fetch);
        close(former);
    }

    private static void close(Connection connection) {
        if (connection != null) {
            connection.close();
        }
    }

    private void line(String line, Connection from) {
        boolean isWatch = from == watch;
        if (isWatch) {
            lastHeardUs = loop.nowUs();
            watch.hasSpoken = true;
        }
        if (line.isEmpty()) {
            return;
        }
        try {
            if (!(JsonReader.parse(line) instanceof Map<?, ?> message)
                    || !(message.get("seq") instanceof Double seq)
                    || !(message.get("whole") instanceof Boolean whole)) {
                throw new IllegalArgumentException("no list");
            }
            if (from == former) {
                owner.told(message, whole);
                return;
            }
            if (!isWatch && seq.longValue() < version) {
                return; // the watch has told more since
            }
            owner.told(message, whole);
            if (whole) {
                wholeNeeded = false;
                close(former);
            }
            version = seq.longValue();
        } catch (IllegalArgumentException e) {
            LOG.warning("a line from discovery cannot be read, the whole list is fetched", e.getMessage());
            wholeNeeded = from != former || wholeNeeded;
            if (isWatch && fetch == null) {
                fetch = open(false);
            }
        }
    }

    private final class Connection extends StreamConnection {
        private final boolean isWatch;
        private final EndpointListReader reader;
        private boolean hasSpoken;
        private long readUs = DiscoveryClient.this.loop.nowUs();

        Connection(boolean isWatch) throws IOException {
            super(DiscoveryClient.this.loop, address, MOST_BYTES, MOST_BYTES, budget);
            this.isWatch = isWatch;
            this.reader = new EndpointListReader(line -> line(line, this));
            EndpointListReader.writeRequest(
                    isWatch, version, address.getAddress().getHostAddress() + ":" + address.getPort(), out);
            flush();
            if (!isWatch) {
                loop.in(NO_LIST_US, this::close);
            }
        }

        @Override
        protected void received() {
            readUs = DiscoveryClient.this.loop.nowUs();
            try {
                if (reader.read(in)) {
                    close();
                }
            } catch (MalformedMessageException e) {
                LOG.warning("discovery's answer cannot be read", e.getMessage());
                close();
            }
        }

        @Override
        protected void ended(Ending ending) {
            if (isWatch) {
                LOG.info("the watch has ended and is opened anew", null);
                firstWordUs = SILENT_US; // guards a service that answers its callers in turn after an outage
                owner.lost();
            }
        }

        @Override
        protected void released() {
            if (watch == this) {
                watch = null;
            }
            if (fetch == this) {
                fetch = null;
            }
            if (former == this) {
                former = null;
            }
        }
    }
}
