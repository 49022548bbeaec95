package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.List;

/** Discovery's agent: holds one list that does not change, answers at once, and writes an empty line every 2 s. */
final class Discovery extends Listener {
    Discovery(List<String> hosts) throws IOException {
        super(socket -> {
            var in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            String list = list(hosts);
            for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
                if (!call.start().contains("watch=1")) {
                    out.write(Http.bytes(
                            "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list));
                    continue;
                }
                out.write(Http.bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
                out.write(chunk(list + "\n"));
                while (true) {
                    Thread.sleep(2000);
                    out.write(chunk("\n"));
                }
            }
        });
    }

    static String list(List<String> hosts) {
        return "{\"seq\":41,\"whole\":true,\"hosts\":[" + String.join(",", hosts) + "]}";
    }

    static String host(String name, String dial) {
        return "{\"host\":\"" + name + "\",\"dial\":\"" + dial + "\",\"site\":\"a\",\"class\":\"m\",\"block\":1,"
                + "\"health\":\"in_service\",\"share\":1.0,\"born_ms\":0}";
    }

    private static byte[] chunk(String text) {
        return Http.bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }
}
