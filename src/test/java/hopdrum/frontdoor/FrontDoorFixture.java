package hopdrum.frontdoor;

import hopdrum.frontdoor.lifecycle.Config;
import hopdrum.frontdoor.lifecycle.EventLoop;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;

/** A front door on loopback, and tiny stand-ins for backends, the counter, discovery and clients. */
abstract class FrontDoorFixture {
    static final String SETTINGS = """
            {"Lanes":[{"Name":"checkout","AimUs":2000000,"GiveUpUs":4000000,"Effect":"dedup","Group":"all","WindowUs":6000000},
                      {"Name":"order","AimUs":2000000,"GiveUpUs":4000000,"Effect":"fragile"}],
             "Packages":[{"Name":"team","PerSecond":1.0,"Burst":2.0}],"NInstances":1,"Ordinal":0,"TickUs":1000,
             "FamilyInfo":{"MayCount":true,"CountWaitUs":50000},"Azs":["z"],"Flavors":["m"],
             "Bounds":{"AttemptsCap":1,"Cancel":true,"RetryAfter":true,"MaxRetryAfterUs":900000,"SecondCopies":true,
             "DialTimeoutUs":250000,"ConnIdleUs":400000},"Report":{"Fields":["depth"]},
             "Rules":{"ColdFrom":0.2,"WarmAfterUs":1000000,"OverloadFactor":2,"FallUs":1000000}}""";
    static final String HANGS = "";
    static final String WATCH = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    final List<AutoCloseable> open = new ArrayList<>();
    final StandIn backend = new StandIn(request -> ok("for " + field(request, "X-Trace-Id")));
    final StandIn counter = new StandIn(request -> ok("1"));
    final StandIn discovery = new StandIn(request -> WATCH + chunk("{\"seq\":41,\"whole\":false,\"hosts\":[]}\n"));
    /** What a stand-in does with a connection once an answer is written on it. */
    enum After {
        KEEP,
        END,
        RESET
    }

    String settings = SETTINGS;
    int sockets = 1024;
    EventLoop loop;
    FrontDoor door;
    CompletableFuture<Void> running;
    Runnable warmUp = () -> {};

    /** Answers each request of each connection; what it was asked can be waited for. */
    final class StandIn implements AutoCloseable {
        final ServerSocket listener;
        final SocketAddress where;
        final BlockingQueue<String> requests = new LinkedBlockingQueue<>();
        final BlockingQueue<Integer> ends = new LinkedBlockingQueue<>();
        final List<Socket> sockets = new ArrayList<>();
        volatile Function<String, String> answer;
        volatile After after = After.KEEP;

        StandIn(Function<String, String> answer) {
            this.answer = answer;
            try {
                listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                where = listener.getLocalSocketAddress();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
            open.add(this);
            thread(() -> {
                while (true) {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    synchronized (sockets) {
                        sockets.add(socket);
                    }
                    thread(() -> talk(socket));
                }
            });
        }

        void talk(Socket socket) throws IOException {
            int talked = 0;
            try (socket) {
                for (String request; (request = message(socket.getInputStream())) != null; talked++) {
                    requests.add(request);
                    String said = answer.apply(request);
                    if (said == null) {
                        return; // breaks the connection after a whole request
                    }
                    socket.getOutputStream().write(said.getBytes(StandardCharsets.ISO_8859_1));
                    if (after == After.END) {
                        return;
                    } else if (after == After.RESET) {
                        reset(socket);
                        return;
                    }
                }
            } finally {
                ends.add(talked);
            }
        }

        void say(String text) throws IOException {
            synchronized (sockets) {
                sockets.get(sockets.size() - 1).getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            }
        }

        /** The newest of its connections. */
        Socket newest() {
            synchronized (sockets) {
                return sockets.get(sockets.size() - 1);
            }
        }

        String asked() throws InterruptedException {
            return requests.poll(10, TimeUnit.SECONDS);
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        @Override
        public void close() throws IOException {
            listener.close();
            synchronized (sockets) {
                for (Socket socket : sockets) {
                    socket.close();
                }
            }
        }
    }

    interface Work {
        void run() throws Exception;
    }

    /** Ends a connection by a reset: what it had not sent is lost. */
    static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    static void thread(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (Exception e) {
                // the other side is gone, or the story is over
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** One message with its body, or null at the end. */
    static String message(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.indexOf("\r\n\r\n") < 0) {
            int b = in.read();
            if (b < 0) {
                return null;
            }
            text.append((char) b);
        }
        String length = field(text.toString(), "Content-Length");
        byte[] body = in.readNBytes(length == null ? 0 : Integer.parseInt(length));
        return text + new String(body, StandardCharsets.ISO_8859_1);
    }

    static String field(String message, String name) {
        return message.lines()
                .filter(l -> l.startsWith(name + ": "))
                .map(l -> l.substring(name.length() + 2))
                .findFirst()
                .orElse(null);
    }

    static String ok(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    static String rpc(String trace, String method, String more) {
        return "POST /api HTTP/1.1\r\nX-Trace-Id: " + trace + "\r\nX-Qos: " + method
                + "\r\nPlan: team\r\nCookie: key=0000000000000007\r\n"
                + "X-Expires-In-Ms: 4000\r\nIdempotency-Key: k\r\nQuota-Info: units=1,spread=1,first=0\r\n" + more
                + "\r\n";
    }

    String host(String name, String address, String health) {
        return "{\"host\":\"" + name + "\",\"dial\":\"" + address
                + "\",\"site\":\"z\",\"class\":\"m\",\"block\":0,\"health\":\"" + health
                + "\",\"share\":1.0,\"born_ms\":0}";
    }

    String config(String hosts) {
        return "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"" + discovery.address() + "\",\"counter\":\""
                + counter.address()
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"memory_mb\":192,\"sockets\":" + sockets
                + "},\"known\":{\"seq\":41,\"whole\":true,\"hosts\":[" + hosts + "]},\"settings\":" + settings + "}";
    }

    void start() throws IOException {
        start(host("b", backend.address(), "in_service"));
    }

    void start(String hosts) throws IOException {
        loop = new EventLoop();
        warmUp.run();
        door = new FrontDoor(Config.parse(config(hosts)), loop);
        running = new CompletableFuture<>();
        thread(() -> {
            try {
                loop.run();
                door.close();
                loop.close();
                running.complete(null);
            } catch (Throwable e) {
                running.completeExceptionally(e);
            }
        });
    }

    @AfterEach
    void end() throws Exception {
        if (running != null && !running.isDone()) {
            loop.execute(loop::stop);
            running.get(10, TimeUnit.SECONDS);
        }
        for (AutoCloseable closeable : open) {
            closeable.close();
        }
    }

    final class Client {
        final Socket socket;

        Client() throws IOException {
            socket = new Socket();
            socket.connect(door.address());
            socket.setSoTimeout(10_000);
        }

        Client send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            return this;
        }

        String hears() throws IOException {
            return message(socket.getInputStream());
        }
    }

    /** Until a connection to a backend that was just used may be used again. */
    void rest() throws Exception {
        CompletableFuture<Void> rested = new CompletableFuture<>();
        loop.execute(() -> loop.in(5_000, () -> rested.complete(null)));
        rested.get(10, TimeUnit.SECONDS);
    }

    /** The next call on the counter that is on no name of these calls. */
    String askedBut(List<String> others) throws InterruptedException {
        String call = counter.asked();
        while (call != null && others.contains(call.split("[?]")[0])) {
            call = counter.asked();
        }
        return call;
    }

    String ask(String text) throws IOException {
        Client client = new Client().send(text);
        String answer = client.hears();
        client.socket.close();
        return answer;
    }
}
