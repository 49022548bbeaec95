package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.HashMap;
import java.util.Map;

/** The shared counter of kit/real/PROTOCOL.md: adds an amount to a number and answers with the total. */
final class Counter extends StandIn {
    private static final class Number {
        double total;
        long endsAtMs;
    }

    private final Map<String, Number> numbers = new HashMap<>();

    Counter() throws IOException {}

    @Override
    void serve(Socket socket, InputStream in, OutputStream out) throws IOException {
        for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
            String target = call.target();
            String name = target.substring(target.lastIndexOf('/') + 1, target.indexOf('?'));
            double amount = Double.parseDouble(parameter(target, "delta"));
            long lifeMs = Math.min(60_000, (long) Double.parseDouble(parameter(target, "life_ms")));
            out.write(Http.answer(200, "", Double.toString(add(name, amount, lifeMs))));
        }
    }

    private synchronized double add(String name, double amount, long lifeMs) {
        long nowMs = System.currentTimeMillis();
        numbers.values().removeIf(number -> number.endsAtMs < nowMs);
        Number number = numbers.computeIfAbsent(name, key -> {
            Number fresh = new Number();
            fresh.endsAtMs = nowMs + lifeMs;
            return fresh;
        });
        number.total += amount;
        return number.total;
    }

    private static String parameter(String target, String name) {
        for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
            if (pair.startsWith(name + "=")) {
                return pair.substring(name.length() + 1);
            }
        }
        throw new IllegalArgumentException("no " + name + " in " + target);
    }
}
